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

// The platform's store for one command: a loop that runs until the command has its answer.
class PlatformRun
{
public:
    explicit PlatformRun(const PlatformTarget &platform)
        : m_port(m_loop, platform.endpoint)
        , m_client(m_port, {.randomSeed = std::random_device()()}, m_counters)
    {
        tick();
    }

    StoreClient &store()
    {
        return m_client;
    }

    void untilStopped()
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
    PlatformRun run(platform);
    ListEditor editor(run.store());
    EditResult outcome;
    const Instant now = EventLoop::now();
    editor.edit(edit, now, now + platform.timeout, [&](const EditResult &result) {
        outcome = result;
        run.stop();
    });
    run.untilStopped();
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
        << "; VMs take it over within seconds\n";
}

ToolOutcome printNotDone(const EditResult &result, const PlatformTarget &platform,
                         ToolStreams streams)
{
    std::ostream &error = streams.error;
    switch (result.outcome) {
    case EditOutcome::Conflict:
        error << "fescuectl: conflict: " << describe(result.conflict)
              << "Nothing was written. Look at the list as it is now, then make your edit again if "
                 "it still holds.\n";
        return ToolOutcome::Conflict;
    case EditOutcome::Refused:
        error << describe(result.errors)
              << "fescuectl: refused, nothing was written; mend these and try again\n";
        return ToolOutcome::Refused;
    case EditOutcome::NotDone:
        error << describe(result.errors) << "fescuectl: " << toString(platform.endpoint)
              << " did not answer in time; nothing was written, try again later\n";
        return ToolOutcome::Unreachable;
    default:
        error << describe(result.errors) << "fescuectl: " << toString(platform.endpoint)
              << " did not answer in time; the edit may have been made. Look at the list before "
                 "you try again.\n";
        return ToolOutcome::Unknown;
    }
}

} // namespace

void addPlatformOptions(Arguments &arguments)
{
    arguments.option("platform", "IP:PORT of the platform");
    arguments.option("timeout-ms", "how long to try", defaultTimeout);
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
    PlatformRun run(platform);
    Result<std::vector<StoredObject>> outcome = std::vector<StoredObject>();
    const Instant now = EventLoop::now();
    const Instant deadline = now + platform.timeout;
    const auto takeCustomers = [&](const Result<std::vector<StoredObject>> &parts) {
        if (parts)
            outcome.value().insert(outcome.value().end(), parts.value().begin(),
                                   parts.value().end());
        else
            outcome = parts.error();
        run.stop();
    };
    run.store().read(std::string(plansKey), now, deadline, [&](const Result<StoredObject> &plans) {
        if (!plans) {
            outcome = plans.error();
            run.stop();
            return;
        }
        outcome.value().push_back(plans.value());
        run.store().list(std::string(customersPrefix), EventLoop::now(), deadline, takeCustomers);
    });
    run.untilStopped();
    return outcome;
}

ToolOutcome unreachable(const PlatformTarget &platform, const Error &error, ToolStreams streams)
{
    streams.error << "fescuectl: no answer from the platform at " << toString(platform.endpoint)
                  << ": " << describe(error) << '\n'
                  << "Check --platform; --timeout-ms tries longer. VMs go on with the lists they "
                     "have.\n";
    return ToolOutcome::Unreachable;
}

ToolOutcome makeEdit(const PlatformTarget &platform, const ListEdit &edit, bool asJson,
                     ToolStreams streams)
{
    const EditResult result = runEdit(platform, edit);
    if (result.outcome != EditOutcome::Done)
        return printNotDone(result, platform, streams);
    printDone(result, asJson, streams.out);
    return ToolOutcome::Done;
}

ToolOutcome
runListCommand(Arguments &arguments, const std::vector<std::string> &words, ToolStreams streams,
               ToolOutcome (*run)(const Arguments &, const PlatformTarget &, ToolStreams))
{
    addPlatformOptions(arguments);
    ToolOutcome outcome = ToolOutcome::Done;
    if (!parseOrExplain(arguments, words, streams, outcome))
        return outcome;
    const Result<PlatformTarget> platform = platformTarget(arguments);
    if (!platform)
        return usageFault(platform.error(), streams);
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
