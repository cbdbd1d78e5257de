#include "standinplatform/platformstandin.h"
#include "standinsupport/programflags.h"

#include <boost/program_options.hpp>

#include <cstdlib>
#include <iostream>

namespace fescuespring {

namespace {

namespace po = boost::program_options;

constexpr const char *program = "standin-platform";

struct Flags
{
    std::string ip;
    std::uint16_t port = 0;
    std::uint16_t controlPort = 0;
    double readsPerSecond = 0;
    double writesPerSecond = 0;
    std::uint32_t vmLagMs = 0;
    std::uint64_t seed = 0;
};

po::options_description describeFlags(Flags &flags)
{
    po::options_description all("standin-platform: the platform's object store, for tests");
    auto add = all.add_options();
    add("help", "show this");
    add("ip", po::value(&flags.ip)->default_value("127.0.0.1"), "IP number to listen at");
    add("port", po::value(&flags.port)->default_value(0), "data port; 0: any");
    add("control-port", po::value(&flags.controlPort)->default_value(0), "control port; 0: any");
    add("reads-per-second", po::value(&flags.readsPerSecond)->default_value(2000),
        "calls that read; a waiting watch is one a second");
    add("writes-per-second", po::value(&flags.writesPerSecond)->default_value(400),
        "calls that write");
    add("vm-lag-ms", po::value(&flags.vmLagMs)->default_value(2000),
        "until a change of the VM list is seen");
    add("seed", po::value(&flags.seed)->default_value(1), "seed of the jitter of answers");
    return all;
}

int runStandin(const Flags &flags)
{
    EventLoop loop;
    const auto standin = PlatformStandin::start(
            loop, {.platform = {.readsPerSecond = flags.readsPerSecond,
                                .writesPerSecond = flags.writesPerSecond,
                                .vmLag = std::chrono::milliseconds(flags.vmLagMs)},
                   .dataEndpoint = {flags.ip, flags.port},
                   .controlEndpoint = {flags.ip, flags.controlPort},
                   .seed = flags.seed,
                   .onKill = [] {
                       std::_Exit(ExitKilled);
                   }});
    if (!standin)
        return failWith(program, ExitNoPort, describe(standin.error()));
    printListening("standin-platform", standin.value()->dataEndpoint(),
                   standin.value()->controlEndpoint());
    loop.onStopSignal([&loop] { loop.stop(); });
    loop.run();
    return EXIT_SUCCESS;
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
    return runStandin(flags);
}
