#include "distribution/distribution.h"

#include "placement/placement.h"
#include "statuswriter.h"
#include "storewatch.h"

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <utility>

namespace fescuespring {

using namespace detail;

namespace {

constexpr std::string_view watchJob = "plan-lists-watch";

// Counters of one VM's distribution.
struct DistributionCounters
{
    explicit DistributionCounters(Counters &counters)
        : pulls(counters.counter("fescuespring_lists_pulls_total"))
        , pullFailures(counters.counter("fescuespring_lists_pull_failures_total"))
        , objects(counters.counter("fescuespring_lists_objects_taken_total"))
        , refused(counters.counter("fescuespring_lists_refused_total"))
        , version(counters.counter("fescuespring_lists_version"))
    {}

    Counter &pulls;
    Counter &pullFailures;
    Counter &objects;
    Counter &refused;
    Counter &version;
};

// A VM from which lists may be pulled.
struct Source
{
    Endpoint peers;

    // Mark of its last known lists; nullopt if unknown.
    std::optional<ListsMark> mark;
};

// A pull in progress.
struct Pull
{
    std::uint64_t number = 0;
    Source source;
};

// A pull that changed nothing although the marks differed, because the objects were refused. It is
// not repeated until either mark changes.
struct UnproductivePull
{
    ListsMark theirs;
    ListsMark ours;
};

} // namespace

class Distribution::Data : public std::enable_shared_from_this<Distribution::Data>
{
public:
    Data(DistributionOptions options, DistributionHooks hooks, StoreClient &store,
         Counters &counters)
        : m_options(std::move(options))
        , m_hooks(std::move(hooks))
        , m_store(store)
        , m_counters(counters)
        , m_random(m_options.randomSeed)
        , m_status(std::make_shared<StatusWriter>(store, "status/" + m_options.dataCentre.value(),
                                                  m_options.statusInterval))
    {}

    void start();
    void tick(Instant now);
    void setMembers(const std::vector<Member> &members, Instant now);
    void setRemotePeers(std::vector<Endpoint> peers)
    {
        m_remotePeers = std::move(peers);
    }
    void listsSeen(const std::vector<ListsSeen> &seen, Instant now);
    ListsAnswer answer(const ListsRequest &request) const;
    bool isReady() const
    {
        return m_isReady;
    }
    ListsStatus status() const;

private:
    void updateClock(Instant now);
    void bootstrap(Instant now);
    void followStore(Instant now);
    void pullFromRemote(Instant now);
    void publish();
    void publishStatus();
    void writeStatus(Instant now);

    void pull(const Source &source);
    void handlePullResult(const Pull &pull, const Result<ListsAnswer> &result);
    bool isKnownUnproductive(const Source &source) const;
    void applyObjects(std::vector<StoredObject> objects);

    std::string statusText() const;

    DistributionOptions m_options;
    DistributionHooks m_hooks;
    StoreClient &m_store;
    DistributionCounters m_counters;
    std::mt19937_64 m_random;
    std::shared_ptr<StatusWriter> m_status;
    std::shared_ptr<StoreWatch> m_watch;

    Instant m_now;
    Instant m_startedAt;
    bool m_isStarted = false;
    Instant m_nextBootstrap;
    Instant m_nextRemote;

    ListSet m_lists;
    ListsMark m_published;
    bool m_isReady = false;

    // Newest refused object of each key, offered again with every object received.
    std::map<std::string, StoredObject> m_refused;
    ListErrors m_errors;

    std::vector<Endpoint> m_remotePeers;
    std::size_t m_memberCount = 0;
    bool m_isWatcher = false;
    bool m_writesStatus = false;

    std::vector<Pull> m_pulls;
    std::map<Endpoint, UnproductivePull> m_unproductivePulls;
    std::uint64_t m_nextPull = 0;
    std::string m_statusText;
};

void Distribution::Data::start()
{
    m_watch = std::make_shared<StoreWatch>(m_store,
                                           [weak = weak_from_this()](const StoredObject &object) {
                                               const std::shared_ptr<Data> self = weak.lock();
                                               if (self && object.version.value() > 0)
                                                   self->applyObjects({object});
                                           });
}

void Distribution::Data::updateClock(Instant now)
{
    m_now = std::max(m_now, now);
    if (m_isStarted)
        return;
    m_isStarted = true;
    m_startedAt = now;
}

void Distribution::Data::tick(Instant now)
{
    updateClock(now);
    if (!m_isReady)
        bootstrap(now);
    followStore(now);
    pullFromRemote(now);
    publish();
    publishStatus();
    writeStatus(now);
}

// Pulls from VMs of other data centres, one at a time, until there are lists. The heartbeats of VMs
// of this data centre show whether they have lists.
void Distribution::Data::bootstrap(Instant now)
{
    if (now < m_nextBootstrap)
        return;
    m_nextBootstrap = now + m_options.bootstrapInterval;
    if (!m_remotePeers.empty())
        pull({m_remotePeers[m_random() % m_remotePeers.size()], std::nullopt});
}

// Holds the watches if this VM is a watcher, or if it got no lists from peers in time.
void Distribution::Data::followStore(Instant now)
{
    const bool isBootstrapOverdue = !m_isReady && now - m_startedAt >= m_options.storeFallbackDelay;
    if (!m_isWatcher && !isBootstrapOverdue) {
        if (m_watch->isWatching())
            m_watch->stop();
        return;
    }
    m_watch->watch(m_lists.isComplete() ? m_lists.plans().customerParts : 0, now);
    if (!m_isReady && m_lists.isComplete() && m_watch->hasReadAll())
        m_isReady = true;
}

void Distribution::Data::pullFromRemote(Instant now)
{
    if (!m_isWatcher || !m_isReady || m_remotePeers.empty() || now < m_nextRemote)
        return;
    m_nextRemote = now + m_options.remoteInterval;
    pull({m_remotePeers[m_random() % m_remotePeers.size()], std::nullopt});
}

void Distribution::Data::publish()
{
    const ListsMark mark = m_lists.mark();
    if (!m_isReady || mark == m_published)
        return;
    m_published = mark;
    m_counters.version.set(mark.version.value());
    if (m_hooks.inForce)
        m_hooks.inForce(std::make_shared<const PlanLists>(m_lists.lists()), mark);
}

void Distribution::Data::publishStatus()
{
    std::string text = statusText();
    if (text == m_statusText)
        return;
    m_statusText = std::move(text);
    if (m_hooks.status)
        m_hooks.status(status());
}

void Distribution::Data::writeStatus(Instant now)
{
    if (m_writesStatus)
        m_status->writeIfChanged(m_statusText, now);
}

void Distribution::Data::setMembers(const std::vector<Member> &members, Instant now)
{
    updateClock(now);
    std::vector<VmId> active;
    m_memberCount = members.size();
    for (const Member &member : members) {
        if (member.state == MemberState::Alive)
            active.push_back(member.vm);
    }
    const std::vector<VmId> order =
            m_hooks.watcherOrder ? m_hooks.watcherOrder(active)
                                 : Placement(active).owners(watchJob, m_options.watchers);
    const auto end =
            order.begin() + static_cast<std::ptrdiff_t>(std::min(order.size(), m_options.watchers));
    m_isWatcher = std::find(order.begin(), end, m_options.self) != end;
    m_writesStatus = !order.empty() && order.front() == m_options.self;
}

void Distribution::Data::listsSeen(const std::vector<ListsSeen> &seen, Instant now)
{
    updateClock(now);
    for (const ListsSeen &entry : seen) {
        const Source source{entry.peers, entry.lists};
        if (entry.lists != m_lists.mark() && !isKnownUnproductive(source))
            pull(source);
    }
}

bool Distribution::Data::isKnownUnproductive(const Source &source) const
{
    const auto found = m_unproductivePulls.find(source.peers);
    return found != m_unproductivePulls.end() && found->second.theirs == source.mark
           && found->second.ours == m_lists.mark();
}

void Distribution::Data::pull(const Source &source)
{
    const bool isInProgress = std::any_of(m_pulls.begin(), m_pulls.end(), [&](const Pull &other) {
        return other.source.peers == source.peers
               || (source.mark && other.source.mark == source.mark);
    });
    if (isInProgress || m_pulls.size() >= m_options.pulls)
        return;
    m_counters.pulls.add();
    const Pull pull{++m_nextPull, source};
    m_pulls.push_back(pull);
    m_hooks.pull(source.peers, {m_lists.versions()}, m_options.pullTimeout,
                 [weak = weak_from_this(), pull](const Result<ListsAnswer> &result) {
                     if (const std::shared_ptr<Data> self = weak.lock())
                         self->handlePullResult(pull, result);
                 });
}

void Distribution::Data::handlePullResult(const Pull &pull, const Result<ListsAnswer> &result)
{
    std::erase_if(m_pulls, [&](const Pull &other) { return other.number == pull.number; });
    if (!result) {
        m_counters.pullFailures.add();
        return;
    }
    const ListsAnswer &answer = result.value();
    const ListsMark before = m_lists.mark();
    applyObjects(answer.newer);
    const bool hasChanged = m_lists.mark() != before;
    if (answer.mark.version.value() == 0)
        return;
    // No newer object was accepted, so this VM has all that the source can provide; refused objects
    // count as absent.
    if (!hasChanged && m_lists.isComplete())
        m_isReady = true;
    if (m_lists.mark() == answer.mark)
        m_isReady = true;
    else if (hasChanged)
        this->pull(pull.source);
    else
        m_unproductivePulls[pull.source.peers] = {answer.mark, before};
    publish();
}

void Distribution::Data::applyObjects(std::vector<StoredObject> objects)
{
    if (objects.empty())
        return;
    m_counters.objects.add(objects.size());
    for (const auto &[key, refused] : m_refused)
        objects.push_back(refused);
    m_errors = m_lists.offer(objects);
    m_counters.refused.add(m_errors.empty() ? 0 : 1);
    m_refused.clear();
    for (const StoredObject &object : objects) {
        const ObjectVersion inForce = m_lists.object(object.key).version;
        m_store.raiseMinimumVersion(object.key, inForce);
        StoredObject &kept = m_refused[object.key];
        if (object.version.value() > inForce.value()
            && object.version.value() > kept.version.value())
            kept = object;
    }
    std::erase_if(m_refused, [](const auto &entry) { return entry.second.version.value() == 0; });
}

ListsAnswer Distribution::Data::answer(const ListsRequest &request) const
{
    ListsAnswer answer;
    if (m_isReady)
        answer.mark = m_lists.mark();
    std::size_t bytes = 0;
    for (StoredObject &object : m_lists.newerThan(request.known)) {
        bytes += object.value.size();
        if (!answer.newer.empty() && bytes > maximumListsAnswerBytes)
            break;
        answer.newer.push_back(std::move(object));
    }
    return answer;
}

ListsStatus Distribution::Data::status() const
{
    return {m_published, m_isReady, m_isWatcher, m_errors};
}

std::string Distribution::Data::statusText() const
{
    std::string text = "lists: " + std::to_string(m_published.version.value()) + "\n";
    text += "members: " + std::to_string(m_memberCount) + "\n";
    text += m_errors.empty() ? "refused: []\n" : "refused: |\n";
    for (const ListError &error : m_errors)
        text += "  " + describe(error.error, error.key) + "\n";
    return text;
}

Distribution::Distribution(DistributionOptions options, DistributionHooks hooks, StoreClient &store,
                           Counters &counters)
    : m_data(std::make_shared<Data>(std::move(options), std::move(hooks), store, counters))
{
    m_data->start();
}

Distribution::~Distribution() = default;

void Distribution::tick(Instant now)
{
    m_data->tick(now);
}

void Distribution::setMembers(const std::vector<Member> &members, Instant now)
{
    m_data->setMembers(members, now);
}

void Distribution::setRemotePeers(std::vector<Endpoint> peers)
{
    m_data->setRemotePeers(std::move(peers));
}

void Distribution::listsSeen(const std::vector<ListsSeen> &seen, Instant now)
{
    m_data->listsSeen(seen, now);
}

ListsAnswer Distribution::answer(const ListsRequest &request) const
{
    return m_data->answer(request);
}

bool Distribution::isReady() const
{
    return m_data->isReady();
}

ListsStatus Distribution::status() const
{
    return m_data->status();
}

} // namespace fescuespring
