# Functions that declare a module of src/ with its unit tests, and the installed package of the core modules.

if(MANGONOTCH_TESTS)
  add_library(catch_main OBJECT ${CMAKE_SOURCE_DIR}/tests/catch_main.cc)
  # Catch2 is built without optimization and instrumentation: with sanitizers it takes minutes to compile.
  target_compile_options(catch_main PRIVATE -O0 -g0 -fno-sanitize=all)
endif()

# mangonotch_module(NAME [DEPS module...] [LIBS library...])
# Builds internal/*.cc into the library mangonotch_NAME with the alias mangonotch::NAME (an interface library when there
# are no sources), and tests/*_test.cc into the executable NAME_tests, run as the CTest test NAME.
function(mangonotch_module NAME)
  cmake_parse_arguments(ARG "" "" "DEPS;LIBS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS internal/*.cc)
  file(GLOB tests CONFIGURE_DEPENDS tests/*_test.cc)
  list(TRANSFORM ARG_DEPS PREPEND mangonotch_)
  set(target mangonotch_${NAME})
  if(sources)
    add_library(${target} STATIC ${sources})
    target_include_directories(${target} PUBLIC $<BUILD_INTERFACE:${CMAKE_SOURCE_DIR}/src>
                                                $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}/mangonotch>)
    target_link_libraries(${target} PUBLIC ${ARG_DEPS} ${ARG_LIBS})
  else()
    add_library(${target} INTERFACE)
    target_include_directories(${target} INTERFACE $<BUILD_INTERFACE:${CMAKE_SOURCE_DIR}/src>
                                                   $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}/mangonotch>)
    target_link_libraries(${target} INTERFACE ${ARG_DEPS} ${ARG_LIBS})
  endif()
  # The name that users of the installed package link to.
  add_library(mangonotch::${NAME} ALIAS ${target})
  if(tests AND MANGONOTCH_TESTS)
    add_executable(${NAME}_tests ${tests} $<TARGET_OBJECTS:catch_main>)
    target_link_libraries(${NAME}_tests PRIVATE ${target} Catch2::Catch2 rapidcheck)
    add_test(NAME ${NAME} COMMAND ${NAME}_tests)
    # A fixed seed for property tests, so that every run gives the same result.
    set_tests_properties(${NAME} PROPERTIES TIMEOUT 300 ENVIRONMENT "RC_PARAMS=seed=20261204")
  endif()
endfunction()

# mangonotch_install_package(module...)
# Installs the modules with their public headers and the CMake package `mangonotch`, whose targets are
# mangonotch::<module>, all in the install component `development`. The target `package_libraries` builds the libraries.
# The list must contain the dependencies of each module.
function(mangonotch_install_package)
  set(package_dir ${CMAKE_INSTALL_LIBDIR}/cmake/mangonotch)
  add_custom_target(package_libraries)
  foreach(module IN LISTS ARGN)
    set(target mangonotch_${module})
    get_target_property(type ${target} TYPE)
    set(scope PUBLIC)
    if(type STREQUAL INTERFACE_LIBRARY)
      set(scope INTERFACE)
    else()
      add_dependencies(package_libraries ${target})
    endif()
    # The headers require C++20 in consuming projects, whatever standard those set.
    target_compile_features(${target} ${scope} cxx_std_20)
    set_target_properties(${target} PROPERTIES EXPORT_NAME ${module})
    install(TARGETS ${target} EXPORT mangonotch_targets ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR}
            COMPONENT development)
    install(DIRECTORY ${CMAKE_SOURCE_DIR}/src/${module}/ DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/mangonotch/${module}
            COMPONENT development FILES_MATCHING PATTERN "*.h" PATTERN internal EXCLUDE PATTERN tests EXCLUDE)
  endforeach()
  install(EXPORT mangonotch_targets NAMESPACE mangonotch:: DESTINATION ${package_dir} COMPONENT development)
  configure_package_config_file(${CMAKE_SOURCE_DIR}/cmake/mangonotch-config.cmake.in
                                ${CMAKE_BINARY_DIR}/mangonotch-config.cmake INSTALL_DESTINATION ${package_dir})
  # Interfaces may change with every minor version before 1.0.
  write_basic_package_version_file(${CMAKE_BINARY_DIR}/mangonotch-config-version.cmake
                                   COMPATIBILITY SameMinorVersion)
  install(FILES ${CMAKE_BINARY_DIR}/mangonotch-config.cmake ${CMAKE_BINARY_DIR}/mangonotch-config-version.cmake
          DESTINATION ${package_dir} COMPONENT development)
endfunction()
