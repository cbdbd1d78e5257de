#include "listcall.h"

#include "base/counters.h"
#include "httpstore/httpobjectstore.h"
#include "net/eventloop.h"
#include "store/storeclient.h"
#include "vmcall.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <ostream>
#include <random>

namespace fescuespring {

namespace {

constexpr const char *defaultTimeout = "10000";
constexpr std::chrono::milliseconds tickInterval{10};
constexpr std::size_t editIdDigits = 16;

// Access to the platform's store for one command: an event loop that runs until the reply.
class PlatformSession
{
public:
    explicit PlatformSession(const PlatformTarget &platform)
        : m_port(m_loop, platform.endpoint)
        , m_client(m_port, {.randomSeed = std::random_device()()}, m_counters)
    {
        tick();
    }

    StoreClient &store()
    {
        return m_client;
    }

    void runUntilStopped()
    {
        m_loop.run();
    }

    void stop()
    {
        m_loop.stop();
    }

private:
    void tick()
    {
        m_client.tick(EventLoop::now());
        m_loop.after(tickInterval, [this] { tick(); });
    }

    EventLoop m_loop;
    Counters m_counters;
    HttpObjectStore m_port;
    StoreClient m_client;
};

EditResult runEdit(const PlatformTarget &platform, const ListEdit &edit)
{
    PlatformSession session(platform);
    ListEditor editor(session.store());
    EditResult outcome;
    const Instant now = EventLoop::now();
    editor.edit(edit, now, now + platform.timeout, [&](const EditResult &result) {
        outcome = result;
        session.stop();
    });
    session.runUntilStopped();
    return outcome;
}

void printDone(const EditResult &result, bool asJson, std::ostream &out)
{
    if (asJson) {
        out << boost::json::serialize(boost::json::object{
                {"outcome", "done"}, {"key", result.key}, {"version", result.version.value()}})
            << '\n';
        return;
    }
    out << "done: " << result.key << " is at version " << result.version.value()
        << "; VMs apply it within seconds\n";
}

ToolOutcome printFailure(const EditResult &result, const PlatformTarget &platform,
                         ToolStreams streams)
{
    std::ostream &error = streams.error;
    switch (result.outcome) {
    case EditOutcome::Conflict:
        error << "fescuectl: conflict: " << describe(result.conflict)
              << "Nothing was written. Check the current list, then repeat the edit if it still "
                 "applies.\n";
        return ToolOutcome::Conflict;
    case EditOutcome::Refused:
        error << describe(result.errors)
              << "fescuectl: refused, nothing was written; correct these errors and try again\n";
        return ToolOutcome::Refused;
    case EditOutcome::NotDone:
        error << describe(result.errors) << "fescuectl: " << toString(platform.endpoint)
              << " did not reply in time; nothing was written, try again later\n";
        return ToolOutcome::Unreachable;
    default:
        error << describe(result.errors) << "fescuectl: " << toString(platform.endpoint)
              << " did not reply in time; the edit may have been made. Check the list before "
                 "trying again.\n";
        return ToolOutcome::Unknown;
    }
}

} // namespace

void addPlatformOptions(Arguments &arguments)
{
    arguments.option("platform", "IP:PORT of the platform");
    arguments.option("timeout-ms", "timeout of the command", defaultTimeout);
}

Result<PlatformTarget> platformTarget(const Arguments &arguments)
{
    Result<Endpoint> endpoint = arguments.endpoint("platform");
    if (!endpoint)
        return endpoint.error();
    const Result<std::chrono::milliseconds> timeout = arguments.milliseconds("timeout-ms");
    if (!timeout)
        return timeout.error();
    return PlatformTarget{.endpoint = endpoint.value(), .timeout = timeout.value()};
}

Result<std::vector<StoredObject>> readLists(const PlatformTarget &platform)
{
    PlatformSession session(platform);
    Result<std::vector<StoredObject>> outcome = std::vector<StoredObject>();
    const Instant now = EventLoop::now();
    const Instant deadline = now + platform.timeout;
    const auto addCustomers = [&](const Result<std::vector<StoredObject>> &parts) {
        if (parts)
            outcome.value().insert(outcome.value().end(), parts.value().begin(),
                                   parts.value().end());
        else
            outcome = parts.error();
        session.stop();
    };
    session.store().read(std::string(plansKey), now, deadline,
                         [&](const Result<StoredObject> &plans) {
                             if (!plans) {
                                 outcome = plans.error();
                                 session.stop();
                                 return;
                             }
                             outcome.value().push_back(plans.value());
                             session.store().list(std::string(customersPrefix), EventLoop::now(),
                                                  deadline, addCustomers);
                         });
    session.runUntilStopped();
    return outcome;
}

ToolOutcome reportUnreachable(const PlatformTarget &platform, const Error &error,
                              ToolStreams streams)
{
    streams.error << "fescuectl: no reply from the platform at " << toString(platform.endpoint)
                  << ": " << describe(error) << '\n'
                  << "Check --platform, or raise --timeout-ms. VMs keep using their current "
                     "lists.\n";
    return ToolOutcome::Unreachable;
}

ToolOutcome makeEdit(const PlatformTarget &platform, const ListEdit &edit, bool asJson,
                     ToolStreams streams)
{
    const EditResult result = runEdit(platform, edit);
    if (result.outcome != EditOutcome::Done)
        return printFailure(result, platform, streams);
    printDone(result, asJson, streams.out);
    return ToolOutcome::Done;
}

ToolOutcome
runListCommand(Arguments &arguments, const std::vector<std::string> &words, ToolStreams streams,
               ToolOutcome (*run)(const Arguments &, const PlatformTarget &, ToolStreams))
{
    addPlatformOptions(arguments);
    ToolOutcome outcome = ToolOutcome::Done;
    if (!parseOrPrintHelp(arguments, words, streams, outcome))
        return outcome;
    const Result<PlatformTarget> platform = platformTarget(arguments);
    if (!platform)
        return reportUsageError(platform.error(), streams);
    return run(arguments, platform.value(), streams);
}

std::string newEditId()
{
    constexpr std::array digits{'0', '1', '2', '3', '4', '5', '6', '7',
                                '8', '9', 'a', 'b', 'c', 'd', 'e', 'f'};
    std::random_device random;
    std::string id = "e-";
    for (std::size_t i = 0; i < editIdDigits; ++i)
        id += digits[random() % digits.size()];
    return id;
}

} // namespace fescuespring
