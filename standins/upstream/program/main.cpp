#include "standinupstream/upstreamstandin.h"

#include "standinsupport/programflags.h"

#include <boost/program_options.hpp>

#include <cstdio>
#include <cstdlib>
#include <iostream>

namespace fescuespring {

namespace {

namespace po = boost::program_options;

constexpr const char *program = "standin-upstream";

struct Flags
{
    std::string database;
    std::string group;
    std::string dataCentre;
    std::string ip;
    std::uint16_t port = 0;
    std::uint16_t controlPort = 0;
    std::uint32_t connections = 0;
    std::uint32_t slots = 0;
    double connectionCostMs = 0;
    std::uint32_t pullWaitMs = 0;
    std::string primary;
    std::vector<std::string> peers;
    std::uint64_t seed = 0;
};

po::options_description describeFlags(Flags &flags)
{
    po::options_description all("standin-upstream: one database of a group, for tests");
    auto add = all.add_options();
    add("help", "show this");
    add("database", po::value(&flags.database)->required(), "name of the database");
    add("group", po::value(&flags.group)->required(), "name of its group");
    add("data-centre", po::value(&flags.dataCentre)->default_value("dc-1"), "its data centre");
    add("ip", po::value(&flags.ip)->default_value("127.0.0.1"), "IP number to listen at");
    add("port", po::value(&flags.port)->default_value(0), "data port; 0: any");
    add("control-port", po::value(&flags.controlPort)->default_value(0), "control port; 0: any");
    add("connections", po::value(&flags.connections)->default_value(20), "connection limit");
    add("slots", po::value(&flags.slots)->default_value(3), "statements worked on at once");
    add("connection-cost-ms", po::value(&flags.connectionCostMs)->default_value(10),
        "time to open a connection");
    add("pull-wait-ms", po::value(&flags.pullWaitMs)->default_value(100),
        "how long a primary may hold a replica's question");
    add("initial-primary", "start as primary of term 1");
    add("primary", po::value(&flags.primary), "start as replica of IP:PORT under term 1");
    add("peer", po::value(&flags.peers)->composing(),
        "NAME=IP:PORT of another database of the group; may be repeated");
    add("seed", po::value(&flags.seed)->default_value(1), "seed of the jitter of answers");
    return all;
}

Result<UpstreamStandinOptions> optionsOf(const Flags &flags, bool initialPrimary)
{
    UpstreamStandinOptions options{
            .database = {.database = DatabaseId(flags.database),
                         .group = GroupId(flags.group),
                         .initialPrimary = initialPrimary},
            .server = {.connections = flags.connections,
                       .slots = flags.slots,
                       .connectionCost = std::chrono::duration_cast<Duration>(
                               std::chrono::duration<double, std::milli>(flags.connectionCostMs))},
            .dataEndpoint = {flags.ip, flags.port},
            .controlEndpoint = {flags.ip, flags.controlPort},
            .pullWait = std::chrono::milliseconds(flags.pullWaitMs),
            .seed = flags.seed,
            .onKill = [] {
                std::_Exit(ExitKilled);
            }};
    if (!flags.primary.empty()) {
        BOOST_OUTCOME_TRY(const Endpoint primary, endpointOf(flags.primary));
        options.database.initialFollows = primary;
    }
    for (const std::string &text : flags.peers) {
        BOOST_OUTCOME_TRY(const NamedEndpoint peer, namedEndpointOf(text, "peer"));
        options.peers[DatabaseId(peer.name)] = peer.endpoint;
    }
    return options;
}

int runStandin(UpstreamStandinOptions options)
{
    EventLoop loop;
    const std::string name = options.database.database.value();
    const auto standin = UpstreamStandin::start(loop, std::move(options));
    if (!standin)
        return failWith(program, ExitNoPort, describe(standin.error()));
    printListening("standin-upstream " + name, standin.value()->dataEndpoint(),
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
    const bool initialPrimary = given.contains("initial-primary");
    if (initialPrimary == !flags.primary.empty())
        return failWith(program, ExitWrongFlags, "give either --initial-primary or --primary");
    auto options = optionsOf(flags, initialPrimary);
    if (!options)
        return failWith(program, ExitWrongFlags, describe(options.error()));
    return runStandin(std::move(options.value()));
}
