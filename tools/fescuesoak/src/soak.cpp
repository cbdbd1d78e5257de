#include "fescuesoak/soak.h"

#include "faults.h"
#include "fescuesoak/soakcaller.h"

#include <map>
#include <set>
#include <utility>

namespace fescuespring {

namespace {

using std::chrono::milliseconds;

// Ports of the stand-in itself lie this far above those that the VMs see.
constexpr std::uint16_t ownPorts = 50;
constexpr std::uint16_t firstDatabase = 10;
constexpr std::uint32_t databasesPerGroup = 3;

constexpr std::chrono::seconds warmUp{4};
constexpr std::chrono::seconds calmTime{1};

// After the mending, what is served is counted over the last part of the recovery.
constexpr std::chrono::seconds countedTime{3};

// The session bound of the routes, and time for answers under way at the end.
constexpr milliseconds maximumStaleness{1500};
constexpr std::chrono::seconds settleTime{2};

} // namespace

const char *toString(ProcessOrder order)
{
    switch (order) {
    case ProcessOrder::Kill:
        return "kill";
    case ProcessOrder::Terminate:
        return "terminate";
    case ProcessOrder::Start:
        return "start";
    case ProcessOrder::Pause:
        return "pause";
    case ProcessOrder::Resume:
        return "resume";
    case ProcessOrder::Reload:
        return "reload";
    }
    return "unknown";
}

struct Soak::Data
{
    Data(EventLoop &eventLoop, SoakOptions soakOptions)
        : loop(eventLoop)
        , options(std::move(soakOptions))
        , random(options.seed + 1)
    {}

    Result<void> open();
    void startCallers();
    void addCallers(const std::string &group, SoakRoute route);
    std::optional<Endpoint> chooseVm();
    void mend();
    void countServed();
    void checkServed();
    void checkItem(const std::string &group, const std::string &item, const Cells &cells);
    void checkItems();
    void finish();

    EventLoop &loop;
    SoakOptions options;
    std::mt19937_64 random;
    Ledger ledger;
    SoakLinks links;
    std::unique_ptr<Estate> estate;
    std::unique_ptr<Faults> faults;
    std::vector<std::unique_ptr<SoakCaller>> callers;
};

Result<void> Soak::Data::open()
{
    const std::size_t databases = std::size_t{options.groups} * databasesPerGroup;
    const auto own = static_cast<std::uint16_t>(options.firstPort + ownPorts);
    const auto ownDatabases = static_cast<std::uint16_t>(own + firstDatabase);
    for (std::size_t i = 0; i < databases; ++i) {
        const auto offset = static_cast<std::uint16_t>(firstDatabase + i);
        BOOST_OUTCOME_TRY(
                auto link,
                FaultyLink::listen(
                        loop, {options.ip, static_cast<std::uint16_t>(options.firstPort + offset)},
                        {options.ip, static_cast<std::uint16_t>(own + offset)}));
        links.databases.push_back(std::move(link));
    }
    BOOST_OUTCOME_TRY(links.store,
                      FaultyLink::listen(loop, {options.ip, options.firstPort}, {options.ip, own}));
    BOOST_OUTCOME_TRY(estate,
                      Estate::start(loop, {.ip = options.ip,
                                           .storePort = own,
                                           .databasePort = ownDatabases,
                                           .groups = options.groups,
                                           .databasesPerGroup = databasesPerGroup,
                                           .maximumStaleness = maximumStaleness,
                                           .seed = options.seed,
                                           .advertised =
                                                   [this](std::size_t number, const Endpoint &) {
                                                       return links.databases[number]->endpoint();
                                                   },
                                           .onCommitted =
                                                   [this](const std::string &group,
                                                          const CommittedWrites &writes) {
                                                       ledger.committed(group, writes);
                                                   }}));
    faults = std::make_unique<Faults>(loop, options, *estate, links);
    for (const SoakVm &vm : options.vms)
        options.order(ProcessOrder::Start, vm.name);
    loop.after(warmUp, [this] { startCallers(); });
    loop.after(warmUp + calmTime, [this] { faults->begin(); });
    loop.after(warmUp + calmTime + options.length, [this] { mend(); });
    return boost::outcome_v2::success();
}

void Soak::Data::startCallers()
{
    for (const std::string &group : estate->groups()) {
        addCallers(group, SoakRoute::Primary);
        addCallers(group, SoakRoute::Own);
        addCallers(group, SoakRoute::Bounded);
    }
}

void Soak::Data::addCallers(const std::string &group, SoakRoute route)
{
    for (std::uint32_t i = 0; i < options.callersPerRoute; ++i) {
        callers.push_back(std::make_unique<SoakCaller>(
                SoakCallerOptions{.loop = loop,
                                  .ledger = ledger,
                                  .name = "c" + std::to_string(callers.size()),
                                  .group = group,
                                  .route = route,
                                  .maximumStaleness = maximumStaleness,
                                  .seed = random(),
                                  .chooseVm = [this] {
                                      return chooseVm();
                                  }}));
        callers.back()->start();
    }
}

std::optional<Endpoint> Soak::Data::chooseVm()
{
    const std::vector<SoakVm> running = faults->runningVms();
    if (running.empty())
        return std::nullopt;
    return running[random() % running.size()].callers;
}

void Soak::Data::mend()
{
    faults->mendAll();
    loop.after(options.recovery, [this] { countServed(); });
}

void Soak::Data::countServed()
{
    for (const auto &caller : callers)
        caller->takeServed();
    loop.after(countedTime, [this] { checkServed(); });
}

void Soak::Data::checkServed()
{
    for (std::size_t i = 0; i < callers.size(); ++i) {
        if (callers[i]->takeServed() == 0)
            ledger.violated("recovery", "caller " + std::to_string(i) + " is not served");
        callers[i]->stop();
    }
    loop.after(settleTime, [this] { finish(); });
}

// What an item holds at the end: what was acknowledged last, and the same as the other one of its
// pair, as both are written in the same transactions.
void Soak::Data::checkItem(const std::string &group, const std::string &item, const Cells &cells)
{
    const auto valueOf = [&cells](const std::string &name) {
        const auto found = cells.find(name);
        return found == cells.end() ? std::string("0") : found->second.value;
    };
    const std::string where = group + ' ' + item;
    const std::string value = valueOf(item);
    if (item.front() == 'p' && value != valueOf('q' + item.substr(1)))
        ledger.violated("half-a-transaction", where);
    const std::uint64_t required =
            ledger.requiredValue(group, item, EventLoop::now(), estate->terms(group));
    if (std::stoull(value) >= required)
        return;
    std::string what = where;
    what.append(" holds ").append(value);
    what.append(", acknowledged was ").append(std::to_string(required));
    ledger.violated("lost", what);
}

void Soak::Data::checkItems()
{
    for (const std::string &group : estate->groups()) {
        WireDatabase *primary = estate->find(estate->primary(group));
        if (!primary || !primary->isRunning()) {
            ledger.violated("recovery", group + " has no primary");
            continue;
        }
        const Cells &cells = primary->server().database().cells();
        for (const std::string &item : ledger.items(group))
            checkItem(group, item, cells);
    }
}

void Soak::Data::finish()
{
    checkItems();
    std::size_t changes = 0;
    for (const std::string &group : estate->groups())
        changes += estate->terms(group).size() - 1;
    options.say(std::to_string(ledger.acknowledgedCount()) + " writes acknowledged, "
                + std::to_string(ledger.readCount()) + " reads, " + std::to_string(changes)
                + " changes of primary");
    options.done(
            ledger.violations([this](const std::string &group) { return estate->terms(group); }));
}

Soak::Soak(std::shared_ptr<Data> data)
    : m_data(std::move(data))
{}

Soak::~Soak() = default;

Result<std::unique_ptr<Soak>> Soak::start(EventLoop &loop, SoakOptions options)
{
    auto data = std::make_shared<Data>(loop, std::move(options));
    const Result<void> opened = data->open();
    if (!opened)
        return opened.error();
    return std::unique_ptr<Soak>(new Soak(std::move(data)));
}

} // namespace fescuespring
