#include "commands.h"

#include "listcall.h"
#include "table.h"
#include "textfile.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <charconv>
#include <ostream>

namespace fescuespring {

namespace json = boost::json;

namespace {

// Suffix of the file in which `plans edit --start` keeps the version and text being edited.
constexpr const char *baseSuffix = ".base";

json::object planObject(const Plan &plan)
{
    json::object object;
    for (const PlanField &field : planFields(plan))
        object[field.name] = field.value;
    return object;
}

void printJson(const PlansPart &part, ObjectVersion version, std::ostream &out)
{
    json::object plans;
    for (const auto &[id, plan] : part.plans)
        plans[id.value()] = planObject(plan);
    out << json::serialize(json::object{{"version", version.value()}, {"plans", plans}}) << '\n';
}

std::vector<std::string> rowOf(const PlanId &id, const Plan &plan)
{
    std::vector<std::string> cells{id.value()};
    for (PlanField &field : planFields(plan))
        cells.push_back(std::move(field.value));
    if (!plan.maximumAge)
        cells.emplace_back("none");
    return cells;
}

void printTable(const PlansPart &part, ObjectVersion version, std::ostream &out)
{
    Table table({"PLAN", "WEIGHT", "PRIORITY", "CONNECTIONS", "QUEUE", "LONG STATEMENTS",
                 "DURABILITY", "MAXIMUM AGE MS"});
    for (const auto &[id, plan] : part.plans)
        table.add(rowOf(id, plan));
    out << "plans at version " << version.value() << ", " << part.plans.size() << " in all\n";
    table.print(out);
}

// An invalid list is shown as far as it can be parsed, with its errors.
ToolOutcome printPlans(const StoredObject &object, bool asJson, ToolStreams streams)
{
    ListErrors errors;
    const PlansPart part = parsePlans(object.value, errors);
    if (asJson)
        printJson(part, object.version, streams.out);
    else
        printTable(part, object.version, streams.out);
    streams.error << describe(errors);
    return errors.empty() ? ToolOutcome::Done : ToolOutcome::Refused;
}

ToolOutcome runShow(const Arguments &arguments, const PlatformTarget &platform, ToolStreams streams)
{
    const Result<std::vector<StoredObject>> lists = readLists(platform);
    if (!lists)
        return reportUnreachable(platform, lists.error(), streams);
    const StoredObject &plans = lists.value().front();
    if (!arguments.has("text"))
        return printPlans(plans, arguments.has("json"), streams);
    streams.out << plans.value;
    return ToolOutcome::Done;
}

ToolOutcome reportFileError(const Error &error, ToolStreams streams)
{
    streams.error << "fescuectl: " << describe(error) << '\n';
    return ToolOutcome::Usage;
}

ToolOutcome printCheckResult(const ListErrors &errors, const std::string &file, ToolStreams streams)
{
    for (const ListError &error : errors)
        streams.error << describe(error.error, error.key == plansKey ? file : error.key) << '\n';
    if (!errors.empty())
        return ToolOutcome::Refused;
    streams.out << file << " is valid\n";
    return ToolOutcome::Done;
}

ToolOutcome runCheck(const Arguments &arguments, ToolStreams streams)
{
    const std::string file = arguments.value("FILE");
    const Result<std::string> text = readTextFile(file);
    if (!text)
        return reportFileError(text.error(), streams);
    ListErrors errors;
    if (!arguments.has("platform")) {
        parsePlans(text.value(), errors);
        return printCheckResult(errors, file, streams);
    }
    const Result<PlatformTarget> platform = platformTarget(arguments);
    if (!platform)
        return reportUsageError(platform.error(), streams);
    const Result<std::vector<StoredObject>> lists = readLists(platform.value());
    if (!lists)
        return reportUnreachable(platform.value(), lists.error(), streams);
    const ReplaceObject operation{
            .key = std::string(plansKey), .baseVersion = {}, .base = {}, .text = text.value()};
    applyEdit(lists.value(), {.id = newEditId(), .operation = operation}, errors);
    return printCheckResult(errors, file, streams);
}

ToolOutcome startEdit(const std::string &file, const PlatformTarget &platform, ToolStreams streams)
{
    const Result<std::vector<StoredObject>> lists = readLists(platform);
    if (!lists)
        return reportUnreachable(platform, lists.error(), streams);
    const StoredObject &plans = lists.value().front();
    const std::string version = std::to_string(plans.version.value()) + '\n';
    Result<void> written = writeTextFile(file + baseSuffix, version + plans.value);
    if (written)
        written = writeTextFile(file, plans.value);
    if (!written)
        return reportFileError(written.error(), streams);
    streams.out << "plans at version " << plans.version.value() << " written to " << file
                << "; edit it, then run: fescuectl plans edit " << file << '\n';
    return ToolOutcome::Done;
}

// Parses the file written by startEdit: the version on the first line, then the text.
Result<ReplaceObject> readBase(const std::string &file)
{
    const std::string hint = " cannot be used; start with: fescuectl plans edit --start " + file;
    const Error unusable{.code = ErrorCode::NotFound, .message = file + baseSuffix + hint};
    const Result<std::string> base = readTextFile(file + baseSuffix);
    if (!base)
        return unusable;
    const std::string &text = base.value();
    std::uint64_t version = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), version);
    const std::size_t lineEnd = text.find('\n');
    if (lineEnd == std::string::npos || parsed.ec != std::errc()
        || parsed.ptr != text.data() + lineEnd)
        return unusable;
    return ReplaceObject{.key = std::string(plansKey),
                         .baseVersion = ObjectVersion(version),
                         .base = text.substr(lineEnd + 1),
                         .text = {}};
}

ToolOutcome applyFile(const std::string &file, const PlatformTarget &platform, bool asJson,
                      ToolStreams streams)
{
    Result<ReplaceObject> operation = readBase(file);
    if (!operation)
        return reportFileError(operation.error(), streams);
    Result<std::string> text = readTextFile(file);
    if (!text)
        return reportFileError(text.error(), streams);
    operation.value().text = std::move(text).value();
    return makeEdit(platform, {.id = newEditId(), .operation = std::move(operation).value()},
                    asJson, streams);
}

ToolOutcome runEdit(const Arguments &arguments, const PlatformTarget &platform, ToolStreams streams)
{
    const std::string file = arguments.value("FILE");
    if (arguments.has("start"))
        return startEdit(file, platform, streams);
    return applyFile(file, platform, arguments.has("json"), streams);
}

ToolOutcome runSet(const Arguments &arguments, const PlatformTarget &platform, ToolStreams streams)
{
    const SetPlanField operation{.plan = PlanId(arguments.value("PLAN")),
                                 .field = arguments.value("FIELD"),
                                 .value = arguments.value("VALUE")};
    return makeEdit(platform, {.id = newEditId(), .operation = operation}, arguments.has("json"),
                    streams);
}

ToolOutcome runAdd(const Arguments &arguments, const PlatformTarget &platform, ToolStreams streams)
{
    AddPlan operation{.plan = PlanId(arguments.value("PLAN")), .fields = {}};
    for (const std::string &word : arguments.values("FIELD=VALUE")) {
        const std::size_t equals = word.find('=');
        if (equals == std::string::npos) {
            return reportUsageError(
                    Error{.message = "'" + word + "' is not of the form FIELD=VALUE"}, streams);
        }
        operation.fields.push_back(
                {.name = word.substr(0, equals), .value = word.substr(equals + 1)});
    }
    return makeEdit(platform, {.id = newEditId(), .operation = std::move(operation)},
                    arguments.has("json"), streams);
}

ToolOutcome runRemove(const Arguments &arguments, const PlatformTarget &platform,
                      ToolStreams streams)
{
    const RemovePlan operation{.plan = PlanId(arguments.value("PLAN"))};
    return makeEdit(platform, {.id = newEditId(), .operation = operation}, arguments.has("json"),
                    streams);
}

ToolOutcome plansShow(const std::vector<std::string> &words, ToolStreams streams)
{
    Arguments arguments("plans show", "Shows the current plans at the platform.");
    arguments.flag("text", "prints the list as it is stored");
    return runListCommand(arguments, words, streams, runShow);
}

ToolOutcome plansCheck(const std::vector<std::string> &words, ToolStreams streams)
{
    Arguments arguments("plans check",
                        "Checks a file of plans, with --platform also against the customers "
                        "there.\nNothing is written.");
    arguments.positional("FILE", "file of plans");
    addPlatformOptions(arguments);
    ToolOutcome outcome = ToolOutcome::Done;
    if (!parseOrPrintHelp(arguments, words, streams, outcome))
        return outcome;
    return runCheck(arguments, streams);
}

ToolOutcome plansEdit(const std::vector<std::string> &words, ToolStreams streams)
{
    Arguments arguments("plans edit",
                        "Applies an edited file of plans. Start with --start, which writes the "
                        "current plans to the\nfile and their version to a second file beside "
                        "it; edit the file, then run the command\nwithout --start. If another "
                        "operator changed the plans in between, nothing is written.");
    arguments.positional("FILE", "file of plans");
    arguments.flag("start", "writes the current plans to the file");
    return runListCommand(arguments, words, streams, runEdit);
}

ToolOutcome plansSet(const std::vector<std::string> &words, ToolStreams streams)
{
    Arguments arguments("plans set", "Sets one field of a plan.");
    arguments.positional("PLAN", "name of the plan");
    arguments.positional("FIELD", "weight, priority, connections, queue, longStatements, "
                                  "durability or maximumAgeMs");
    arguments.positional("VALUE", "new value of the field");
    return runListCommand(arguments, words, streams, runSet);
}

ToolOutcome plansAdd(const std::vector<std::string> &words, ToolStreams streams)
{
    Arguments arguments("plans add", "Adds a plan; omitted fields have their defaults.");
    arguments.positional("PLAN", "name of the plan");
    arguments.words("FIELD=VALUE", "fields, for example weight=10");
    return runListCommand(arguments, words, streams, runAdd);
}

ToolOutcome plansRemove(const std::vector<std::string> &words, ToolStreams streams)
{
    Arguments arguments("plans remove", "Removes a plan that no customer has.");
    arguments.positional("PLAN", "name of the plan");
    return runListCommand(arguments, words, streams, runRemove);
}

constexpr std::array plansCommands{
        Command{"show", "shows the current plans", plansShow},
        Command{"check", "checks a file of plans", plansCheck},
        Command{"edit", "applies an edited file of plans", plansEdit},
        Command{"set", "sets one field of a plan", plansSet},
        Command{"add", "adds a plan", plansAdd},
        Command{"remove", "removes a plan", plansRemove},
};

} // namespace

ToolOutcome runPlans(const std::vector<std::string> &words, ToolStreams streams)
{
    return runSubcommand("plans", plansCommands, words, streams);
}

} // namespace fescuespring
