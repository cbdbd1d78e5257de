#include "fescuebench/benchoptions.h"
#include "fescuebench/experiments.h"
#include "planlists/listtext.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace fescuespring {

namespace {

namespace po = boost::program_options;

constexpr int exitFailed = 1;
constexpr int exitUsage = 2;
constexpr int exitTargetMissed = 3;

struct Flags
{
    std::string experiment;
    std::string workload;
    std::uint64_t seed = 0;
    std::string targets;
    std::uint32_t naive = 0;
    std::string databases;
    std::string processes;
    double seconds = 0;
    std::uint32_t repeat = 0;
    std::uint32_t groups = 0;
    double scale = 0;
    std::string json;
    std::string html;
    std::string listsFolder;
};

po::options_description describeFlags(Flags &flags)
{
    po::options_description all("fescuebench EXPERIMENT [flags]");
    auto add = all.add_options();
    add("help", "show this");
    add("experiment", po::value(&flags.experiment), "may be given without its name");
    add("workload", po::value(&flags.workload)->default_value("herdview"), "herdview or dvorak");
    add("seed", po::value(&flags.seed)->default_value(1), "of the arrivals");
    add("targets", po::value(&flags.targets), "IP:PORT,... of the product's VMs");
    add("naive", po::value(&flags.naive)->default_value(0),
        "run the naive policy too, as so many VMs with pools to --databases");
    add("databases", po::value(&flags.databases),
        "GROUP/NAME=IP:PORT/CONTROL-PORT,... of stand-ins, for direct calls and faults");
    add("pids", po::value(&flags.processes), "PID,... whose CPU time is given per request");
    add("seconds", po::value(&flags.seconds)->default_value(10), "length of the main part");
    add("repeat", po::value(&flags.repeat)->default_value(1), "runs of failover");
    add("groups", po::value(&flags.groups)->default_value(3), "groups of the workload to use");
    add("scale", po::value(&flags.scale)->default_value(1), "factor on the load offered");
    add("json", po::value(&flags.json), "file for all figures");
    add("html", po::value(&flags.html), "file for a page with plots");
    add("write-lists", po::value(&flags.listsFolder),
        "write the workload's plans.yaml and customers.yaml to this folder, and nothing else");
    add("enforce", "exit with 3 where a target of the product is missed");
    return all;
}

int fail(int code, const std::string &message)
{
    std::cerr << "fescuebench: " << message << '\n';
    return code;
}

std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');)
        parts.push_back(part);
    return parts;
}

template <typename Number>
Result<Number> numberOf(const std::string &text, const char *field)
{
    Number number = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc() || stop != end || number == 0)
        return Error{ErrorCode::InvalidField, "'" + text + "' is no number of the range", field};
    return number;
}

Result<Endpoint> endpointOf(const std::string &text, const char *field)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return Error{ErrorCode::InvalidField, "'" + text + "' is no IP:PORT", field};
    BOOST_OUTCOME_TRY(const auto port, numberOf<std::uint16_t>(text.substr(colon + 1), field));
    return Endpoint{text.substr(0, colon), port};
}

Result<BenchDatabase> databaseOf(const std::string &text)
{
    constexpr const char *field = "databases";
    const std::size_t equals = text.find('=');
    const std::size_t name = text.find('/');
    const std::size_t control = text.rfind('/');
    if (equals == std::string::npos || name > equals || control < equals)
        return Error{ErrorCode::InvalidField,
                     "'" + text + "' is no GROUP/NAME=IP:PORT/CONTROL-PORT", field};
    BOOST_OUTCOME_TRY(const Endpoint data,
                      endpointOf(text.substr(equals + 1, control - equals - 1), field));
    BOOST_OUTCOME_TRY(const auto port, numberOf<std::uint16_t>(text.substr(control + 1), field));
    return BenchDatabase{GroupId(text.substr(0, name)),
                         DatabaseId(text.substr(name + 1, equals - name - 1)), data,
                         Endpoint{data.ip, port}};
}

std::optional<Error> addSide(BenchOptions &options, const std::string &policy,
                             const std::string &targets, const char *field)
{
    if (targets.empty())
        return std::nullopt;
    BenchSide side{.policy = policy, .vms = {}};
    for (const std::string &text : split(targets)) {
        const auto endpoint = endpointOf(text, field);
        if (!endpoint)
            return endpoint.error();
        side.vms.push_back(endpoint.value());
    }
    side.entries = side.vms.size();
    options.sides.push_back(std::move(side));
    return std::nullopt;
}

// The naive policy needs a database of every group.
std::optional<Error> checkGroups(const BenchOptions &options)
{
    for (const GroupId &group : options.workload.groups) {
        const bool known = std::any_of(
                options.databases.begin(), options.databases.end(),
                [&group](const BenchDatabase &database) { return database.group == group; });
        if (!known)
            return Error{ErrorCode::MissingField, "none of group " + group.value(), "databases"};
    }
    return std::nullopt;
}

Result<BenchOptions> optionsOf(const Flags &flags)
{
    auto workload = loadWorkloadByName(flags.workload);
    if (!workload)
        return Error{ErrorCode::InvalidField, "must be herdview or dvorak", "workload"};
    if (flags.groups == 0 || flags.groups > workload->groups.size())
        return Error{ErrorCode::InvalidField, "must be 1 to 3", "groups"};
    workload->groups.resize(flags.groups);
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto runNumber = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    BenchOptions options{.experiment = flags.experiment,
                         .workload = std::move(*workload),
                         .seed = flags.seed,
                         .length = std::chrono::duration_cast<Duration>(
                                 std::chrono::duration<double>(flags.seconds)),
                         .repeat = flags.repeat,
                         .scale = flags.scale,
                         .runId = std::to_string(runNumber) + "-"};
    if (auto error = addSide(options, "product", flags.targets, "targets"))
        return std::move(*error);
    if (flags.naive > 0)
        options.sides.push_back({.policy = "naive", .vms = {}, .entries = flags.naive});
    for (const std::string &text : split(flags.databases)) {
        BOOST_OUTCOME_TRY(BenchDatabase database, databaseOf(text));
        options.databases.push_back(std::move(database));
    }
    for (const std::string &text : split(flags.processes)) {
        BOOST_OUTCOME_TRY(const auto process, numberOf<std::uint32_t>(text, "pids"));
        options.processes.push_back(process);
    }
    if (options.databases.empty() && (options.sides.empty() || flags.naive > 0))
        return Error{ErrorCode::MissingField, "nothing to measure", "databases"};
    if (flags.naive > 0) {
        if (auto error = checkGroups(options))
            return std::move(*error);
    }
    return options;
}

bool writeFile(const std::string &name, const std::string &text)
{
    if (name.empty())
        return true;
    std::ofstream file(name);
    file << text;
    return static_cast<bool>(file.flush());
}

CustomersPart customersPartOf(const PlanLists &lists)
{
    CustomersPart part;
    for (const auto &[customer, plan] : lists.customers)
        part.customers[customer] = CustomerEntry{.plan = plan};
    return part;
}

int writeLists(const Flags &flags)
{
    const auto workload = loadWorkloadByName(flags.workload);
    if (!workload)
        return fail(exitUsage, "--workload must be herdview or dvorak");
    const PlansPart plans{.plans = workload->lists.plans};
    const CustomersPart customers = customersPartOf(workload->lists);
    const bool written = writeFile(flags.listsFolder + "/plans.yaml", toText(plans))
                         && writeFile(flags.listsFolder + "/customers.yaml", toText(customers));
    return written ? EXIT_SUCCESS : fail(exitFailed, "a list cannot be written");
}

int runBench(const Flags &flags, bool enforce)
{
    const auto &all = experiments();
    const auto experiment =
            std::find_if(all.begin(), all.end(), [&flags](const Experiment &candidate) {
                return candidate.name == flags.experiment;
            });
    if (experiment == all.end())
        return fail(exitUsage, "unknown experiment '" + flags.experiment + "'; see --help");
    const auto options = optionsOf(flags);
    if (!options)
        return fail(exitUsage, describe(options.error()));
    const auto report = experiment->run(options.value());
    if (!report)
        return fail(exitFailed, describe(report.error()));
    std::cout << reportTable(report.value());
    if (!writeFile(flags.json, reportJson(report.value()))
        || !writeFile(flags.html, reportHtml(report.value())))
        return fail(exitFailed, "a result file cannot be written");
    return enforce && !meetsProductTargets(report.value()) ? exitTargetMissed : EXIT_SUCCESS;
}

void printHelp(const po::options_description &all)
{
    std::cout << all << "\nExperiments:\n";
    for (const Experiment &experiment : experiments())
        std::cout << "  " << experiment.name << ": " << experiment.summary << '\n';
    std::cout << "\nExit codes: 0 done, 1 failed, 2 wrong flags, 3 target missed (--enforce)\n";
}

} // namespace

} // namespace fescuespring

int main(int argc, char **argv)
{
    using namespace fescuespring;
    Flags flags;
    const po::options_description all = describeFlags(flags);
    po::positional_options_description positional;
    positional.add("experiment", 1);
    po::variables_map given;
    try {
        po::store(po::command_line_parser(argc, argv).options(all).positional(positional).run(),
                  given);
        po::notify(given);
    } catch (const po::error &error) {
        return fail(exitUsage, error.what());
    }
    if (given.contains("help")) {
        printHelp(all);
        return EXIT_SUCCESS;
    }
    if (!flags.listsFolder.empty())
        return writeLists(flags);
    return runBench(flags, given.contains("enforce"));
}
