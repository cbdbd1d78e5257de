#include "operatortool/operatortool.h"

#include <iostream>

// Entry point of fescuectl; libs/operatortool implements its commands.
int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return static_cast<int>(fescuespring::runOperatorTool(arguments, {std::cout, std::cerr}));
}
