#include "operatortool/operatortool.h"

#include <iostream>

// The operator's tool; libs/operatortool holds its commands.
int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return static_cast<int>(fescuespring::runOperatorTool(arguments, {std::cout, std::cerr}));
}
