#include "faults.h"

#include <algorithm>
#include <utility>

namespace fescuespring {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds shortestGap{150};
constexpr milliseconds longestGap{1300};
constexpr milliseconds shortestFault{300};
constexpr milliseconds longestFault{5000};

// A process that was told to end has this long; it is started again after.
constexpr milliseconds stopTime{6000};

constexpr double lostAnswersOfStore = 0.4;
constexpr double lostAnswersOfDatabase = 0.05;
constexpr double slowFactor = 8;

} // namespace

Faults::Faults(EventLoop &loop, const SoakOptions &options, Estate &estate, SoakLinks &links)
    : m_loop(loop)
    , m_options(options)
    , m_estate(estate)
    , m_links(links)
    , m_random(options.seed)
{}

Faults::~Faults() = default;

void Faults::begin()
{
    ++m_stage;
    next();
}

void Faults::next()
{
    strike();
    // Series: now and then several at once.
    while (draw(4) == 0)
        strike();
    later(drawTime(shortestGap, longestGap), [this] { next(); });
}

void Faults::strike()
{
    switch (draw(8)) {
    case 0:
    case 1:
        strikeProcess();
        break;
    case 2:
    case 3:
    case 4:
        strikeLink();
        break;
    case 5:
        strikeStore();
        break;
    default:
        strikeDatabase();
        break;
    }
}

void Faults::strikeProcess()
{
    const std::string vm = m_options.vms[draw(m_options.vms.size())].name;
    if (m_stopped.contains(vm) || m_paused.contains(vm))
        return;
    const Duration time = drawTime(shortestFault, longestFault);
    switch (draw(4)) {
    case 0:
        m_stopped.insert(vm);
        order(ProcessOrder::Kill, vm);
        later(time, [this, vm] { startVm(vm); });
        break;
    case 1:
        m_stopped.insert(vm);
        order(ProcessOrder::Terminate, vm);
        later(stopTime, [this, vm] { startVm(vm); });
        break;
    case 2:
        m_paused.insert(vm);
        order(ProcessOrder::Pause, vm);
        later(time, [this, vm] {
            m_paused.erase(vm);
            order(ProcessOrder::Resume, vm);
        });
        break;
    default:
        order(ProcessOrder::Reload, vm);
        break;
    }
}

void Faults::startVm(const std::string &vm)
{
    m_stopped.erase(vm);
    order(ProcessOrder::Start, vm);
}

void Faults::strikeLink()
{
    const SoakVm &vm = m_options.vms[draw(m_options.vms.size())];
    const std::string &ip = vm.callers.ip;
    const std::size_t target = draw(m_links.databases.size() + 1);
    const bool isStore = target == m_links.databases.size();
    FaultyLink &link = isStore ? *m_links.store : *m_links.databases[target];
    const std::string way =
            vm.name + (isStore ? " to the store" : " to database " + std::to_string(target));
    const Duration time = drawTime(shortestFault, longestFault);
    switch (draw(6)) {
    case 0:
        say("reset " + way);
        link.reset(ip);
        return;
    case 1:
        say("silence " + way);
        link.silence(ip);
        return;
    case 2:
        say("delay " + way);
        link.setFault(ip, {.delay = drawTime(milliseconds(20), milliseconds(400))});
        break;
    case 3:
        say("cut one way " + way);
        link.setFault(ip, {.holdsToCaller = true});
        break;
    case 4:
        say("cut " + way);
        link.setFault(ip, {.holdsToTarget = true, .holdsToCaller = true});
        break;
    default:
        say("cut " + vm.name + " from everything");
        m_links.store->setFault(ip, {.holdsToTarget = true, .holdsToCaller = true});
        for (const auto &database : m_links.databases)
            database->setFault(ip, {.holdsToTarget = true, .holdsToCaller = true});
        break;
    }
    later(time, [this, vm] { mendLinks(vm); });
}

void Faults::mendLinks(const SoakVm &vm)
{
    m_links.store->setFault(vm.callers.ip, {});
    for (const auto &database : m_links.databases)
        database->setFault(vm.callers.ip, {});
}

void Faults::strikeStore()
{
    StorePortFaults faults;
    switch (draw(6)) {
    case 0:
        faults.isDown = true;
        say("store down");
        break;
    case 1:
        faults.isUnresponsive = true;
        say("store silent");
        break;
    case 2:
        faults.delay = drawTime(milliseconds(50), milliseconds(500));
        say("store slow");
        break;
    case 3:
        faults.lostResponseShare = lostAnswersOfStore;
        say("store loses answers");
        break;
    case 4:
        faults.rejectedVms.insert(m_options.vms[draw(m_options.vms.size())].callers.ip);
        say("store turns a VM away");
        break;
    default:
        m_estate.objects().discardHistory();
        say("store forgets its history; configuration "
            + std::to_string(m_estate.changeConfiguration(static_cast<std::uint32_t>(draw(9)))));
        return;
    }
    m_estate.store().setFaults(faults);
    later(drawTime(shortestFault, longestFault), [this] { m_estate.store().setFaults({}); });
}

std::string Faults::drawDatabase()
{
    const std::vector<std::string> groups = m_estate.groups();
    const std::string &group = groups[draw(groups.size())];
    if (draw(2) == 0)
        return m_estate.primary(group);
    const std::vector<std::string> databases = m_estate.databases(group);
    return databases[draw(databases.size())];
}

void Faults::strikeDatabase()
{
    const std::string database = drawDatabase();
    WireDatabase *found = m_estate.find(database);
    if (!found || m_crashed.contains(database) || m_slowed.contains(database))
        return;
    const Duration time = drawTime(shortestFault, longestFault);
    switch (draw(6)) {
    case 5:
        split(database, time);
        return;
    case 0:
        say("crash " + database);
        m_crashed.insert(database);
        m_estate.crash(database);
        later(time, [this, database] {
            m_crashed.erase(database);
            m_estate.restart(database);
        });
        return;
    case 1:
        say("drain " + database);
        m_estate.drain(database);
        return;
    case 2: {
        say("slow " + database);
        m_slowed.insert(database);
        DatabaseFaults faults = found->server().faults();
        faults.slowness = slowFactor;
        found->server().setFaults(faults, EventLoop::now());
        break;
    }
    case 3:
        say("lost answers of " + database);
        m_slowed.insert(database);
        found->setLostReplyShare(lostAnswersOfDatabase);
        break;
    default:
        say("no replication with " + database);
        m_slowed.insert(database);
        m_estate.setReplicating(database, false);
        break;
    }
    later(time, [this, database] {
        m_slowed.erase(database);
        m_estate.setReplicating(database, true);
        WireDatabase *slowed = m_estate.find(database);
        if (!slowed)
            return;
        DatabaseFaults faults = slowed->server().faults();
        faults.slowness = 1;
        slowed->server().setFaults(faults, EventLoop::now());
        slowed->setLostReplyShare(0);
    });
}

// One VM alone still reaches the database, which neither sends nor receives commits any more.
void Faults::split(const std::string &database, Duration time)
{
    const std::size_t number = m_estate.numberOf(database);
    const std::string kept = m_options.vms[draw(m_options.vms.size())].name;
    say("split: only " + kept + " reaches " + database);
    m_slowed.insert(database);
    m_estate.setReplicating(database, false);
    FaultyLink &link = *m_links.databases[number];
    for (const SoakVm &vm : m_options.vms) {
        if (vm.name != kept)
            link.setFault(vm.callers.ip, {.holdsToTarget = true, .holdsToCaller = true});
    }
    later(time, [this, database, &link] {
        m_slowed.erase(database);
        m_estate.setReplicating(database, true);
        for (const SoakVm &vm : m_options.vms)
            link.setFault(vm.callers.ip, {});
    });
}

void Faults::mendAll()
{
    ++m_stage;
    say("all mended");
    m_estate.store().setFaults({});
    for (const SoakVm &vm : m_options.vms)
        mendLinks(vm);
    for (const std::string &vm : std::exchange(m_paused, {}))
        order(ProcessOrder::Resume, vm);
    for (const std::string &vm : std::exchange(m_stopped, {}))
        startVm(vm);
    for (const std::string &group : m_estate.groups()) {
        for (const std::string &database : m_estate.databases(group)) {
            WireDatabase &found = *m_estate.find(database);
            DatabaseFaults faults = found.server().faults();
            faults.slowness = 1;
            found.server().setFaults(faults, EventLoop::now());
            found.setLostReplyShare(0);
            m_estate.setReplicating(database, true);
            if (!found.isRunning())
                m_estate.restart(database);
        }
    }
    m_crashed.clear();
    m_slowed.clear();
}

std::vector<SoakVm> Faults::runningVms() const
{
    std::vector<SoakVm> running;
    std::copy_if(m_options.vms.begin(), m_options.vms.end(), std::back_inserter(running),
                 [this](const SoakVm &vm) { return !m_stopped.contains(vm.name); });
    return running;
}

void Faults::later(Duration delay, const std::function<void()> &task)
{
    m_loop.after(delay, [this, task, stage = m_stage] {
        if (stage == m_stage)
            task();
    });
}

Duration Faults::drawTime(milliseconds least, milliseconds most)
{
    return least + milliseconds(draw(static_cast<std::size_t>((most - least).count())));
}

std::size_t Faults::draw(std::size_t count)
{
    return m_random() % count;
}

void Faults::say(const std::string &line)
{
    m_options.say(line);
}

void Faults::order(ProcessOrder order, const std::string &vm)
{
    say(std::string(toString(order)) + ' ' + vm);
    m_options.order(order, vm);
}

} // namespace fescuespring
