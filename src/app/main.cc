// Entry point of the mangonotch binary.
#include <iostream>
#include <span>

#include "app/commands.h"

int main(int argc, char** argv) {
  return mangonotch::app::RunCommand(std::span(argv, static_cast<std::size_t>(argc)), std::cout,
                                     std::cerr);
}
