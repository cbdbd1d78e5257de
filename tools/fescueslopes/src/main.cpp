#include "slopes.h"

#include <boost/program_options.hpp>

#include <cstdio>
#include <exception>
#include <iostream>

namespace options = boost::program_options;
using namespace fescuespring;

namespace {

// Measures the cost of the control plane for one VM and prints tables with linear fits.
int run(int argc, char **argv)
{
    SlopeOptions slopes;
    std::string part;
    options::options_description description("fescueslopes: cost of the control plane by size");
    auto add = description.add_options();
    add("help", "print this");
    add("part", options::value(&part)->default_value("all"),
        "all, membership, distribution, lists or datagrams");
    add("sizes", options::value(&slopes.sizes)->multitoken(), "members of a data centre");
    add("seed", options::value(&slopes.seed)->default_value(1), "seed of the first run");
    add("crashes", options::value(&slopes.crashes)->default_value(20), "crashes per size");
    add("edits", options::value(&slopes.edits)->default_value(50), "edits per size");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    if (values.count("help") != 0) {
        std::cout << description;
        return 0;
    }
    if (slopes.sizes.empty())
        slopes.sizes = {9, 100, 400};
    const bool isAll = part == "all";
    if (isAll || part == "datagrams")
        print(measureDatagrams());
    if (isAll || part == "lists")
        print(measureLists());
    if (isAll || part == "membership")
        print(measureMembership(slopes));
    if (isAll || part == "distribution")
        print(measureDistribution(slopes));
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception &exception) {
        std::fprintf(stderr, "fescueslopes: %s\n", exception.what());
        return 2;
    }
}
