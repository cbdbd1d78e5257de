#include "fescuesoak/soak.h"

#include "standinsupport/programflags.h"

#include <boost/program_options.hpp>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <iostream>

namespace fescuespring {

namespace {

namespace po = boost::program_options;

constexpr int exitViolated = 1;
constexpr const char *program = "fescuesoak";

struct Flags
{
    SoakOptions soak;
    std::uint32_t seconds = 0;
    std::vector<std::string> vms;
};

po::options_description describeFlags(Flags &flags)
{
    po::options_description all(
            "fescuesoak: faults and callers around VM processes; tools/fescuesoak/run starts them");
    auto add = all.add_options();
    add("help", "show this");
    add("seed", po::value(&flags.soak.seed)->default_value(1), "of the faults");
    add("seconds", po::value(&flags.seconds)->default_value(20), "time with faults");
    add("groups", po::value(&flags.soak.groups)->default_value(2), "groups of databases");
    add("callers", po::value(&flags.soak.callersPerRoute)->default_value(4),
        "callers of each route");
    add("port", po::value(&flags.soak.firstPort)->default_value(24000), "first of 100 ports");
    add("vm", po::value(&flags.vms)->composing()->required(),
        "NAME=IP:PORT of a VM's callers; may be repeated");
    return all;
}

Result<std::vector<SoakVm>> vmsOf(const std::vector<std::string> &texts)
{
    std::vector<SoakVm> vms;
    for (const std::string &text : texts) {
        BOOST_OUTCOME_TRY(const NamedEndpoint vm, namedEndpointOf(text, "vm"));
        vms.push_back({vm.name, vm.endpoint});
    }
    return vms;
}

// Orders go out as "order VERB VM", all else begins with "# ".
int runSoak(Flags flags)
{
    EventLoop loop;
    int status = EXIT_SUCCESS;
    const Instant began = EventLoop::now();
    flags.soak.length = std::chrono::seconds(flags.seconds);
    flags.soak.order = [](ProcessOrder order, const std::string &vm) {
        std::cout << "order " << toString(order) << ' ' << vm << std::endl;
    };
    flags.soak.say = [began](const std::string &line) {
        const auto age =
                std::chrono::duration_cast<std::chrono::milliseconds>(EventLoop::now() - began);
        std::cout << "# " << age.count() << " ms: " << line << std::endl;
    };
    flags.soak.done = [&](const std::vector<SoakViolation> &violations) {
        for (const SoakViolation &violation : violations)
            std::cout << "# VIOLATION " << violation.rule << ": " << violation.what << std::endl;
        status = violations.empty() ? EXIT_SUCCESS : exitViolated;
        loop.stop();
    };
    const auto soak = Soak::start(loop, flags.soak);
    if (!soak)
        return failWith(program, ExitNoPort, describe(soak.error()));
    loop.onStopSignal([&loop, &status] {
        status = exitViolated;
        loop.stop();
    });
    loop.run();
    return status;
}

} // namespace

} // namespace fescuespring

int main(int argc, char **argv)
{
    using namespace fescuespring;
    Flags flags;
    const po::options_description all = describeFlags(flags);
    po::variables_map given;
    if (const auto exit = readFlags(program, all, argc, argv, given))
        return *exit;
    auto vms = vmsOf(flags.vms);
    if (!vms)
        return failWith(program, ExitWrongFlags, describe(vms.error()));
    flags.soak.vms = std::move(vms.value());
    return runSoak(std::move(flags));
}
