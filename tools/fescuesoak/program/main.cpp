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
constexpr int exitUsage = 2;
constexpr int exitListen = 3;

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
        const std::size_t split = text.find('=');
        if (split == std::string::npos)
            return Error{ErrorCode::InvalidField, "must be NAME=IP:PORT", "vm"};
        BOOST_OUTCOME_TRY(const Endpoint callers, endpointOf(text.substr(split + 1)));
        vms.push_back({text.substr(0, split), callers});
    }
    return vms;
}

int fail(int code, const std::string &message)
{
    std::cerr << "fescuesoak: " << message << '\n';
    return code;
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
        return fail(exitListen, describe(soak.error()));
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
    try {
        po::variables_map given;
        po::store(po::parse_command_line(argc, argv, all), given);
        if (given.contains("help")) {
            std::cout << all;
            return EXIT_SUCCESS;
        }
        po::notify(given);
    } catch (const po::error &error) {
        return fail(exitUsage, error.what());
    }
    auto vms = vmsOf(flags.vms);
    if (!vms)
        return fail(exitUsage, describe(vms.error()));
    flags.soak.vms = std::move(vms.value());
    return runSoak(std::move(flags));
}
