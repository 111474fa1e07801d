# Functions that declare a module of src/ and its unit tests.

add_library(catch_main OBJECT ${CMAKE_SOURCE_DIR}/tests/catch_main.cc)
# Catch2 itself is neither optimised nor instrumented: with sanitizers it takes minutes to compile.
target_compile_options(catch_main PRIVATE -O0 -g0 -fno-sanitize=all)

# mangonotch_module(NAME [DEPS module...] [LIBS library...])
# Builds internal/*.cc into mangonotch_NAME (an interface library when there is none) and tests/*_test.cc into
# NAME_tests.
function(mangonotch_module NAME)
  cmake_parse_arguments(ARG "" "" "DEPS;LIBS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS internal/*.cc)
  file(GLOB tests CONFIGURE_DEPENDS tests/*_test.cc)
  list(TRANSFORM ARG_DEPS PREPEND mangonotch_)
  set(target mangonotch_${NAME})
  if(sources)
    add_library(${target} STATIC ${sources})
    target_include_directories(${target} PUBLIC $<BUILD_INTERFACE:${CMAKE_SOURCE_DIR}/src>
                                                $<INSTALL_INTERFACE:include/mangonotch>)
    target_link_libraries(${target} PUBLIC ${ARG_DEPS} ${ARG_LIBS})
  else()
    add_library(${target} INTERFACE)
    target_include_directories(${target} INTERFACE $<BUILD_INTERFACE:${CMAKE_SOURCE_DIR}/src>
                                                   $<INSTALL_INTERFACE:include/mangonotch>)
    target_link_libraries(${target} INTERFACE ${ARG_DEPS} ${ARG_LIBS})
  endif()
  if(tests)
    add_executable(${NAME}_tests ${tests} $<TARGET_OBJECTS:catch_main>)
    target_link_libraries(${NAME}_tests PRIVATE ${target} Catch2::Catch2 rapidcheck)
    add_test(NAME ${NAME} COMMAND ${NAME}_tests)
    # Property tests take their seed from here, so that each run has the same verdict.
    set_tests_properties(${NAME} PROPERTIES TIMEOUT 300 ENVIRONMENT "RC_PARAMS=seed=20261204")
  endif()
endfunction()
