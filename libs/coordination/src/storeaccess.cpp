#include "coordination/storeaccess.h"

#include <algorithm>
#include <utility>

namespace fescuespring {

namespace {

using std::chrono::milliseconds;

constexpr Duration updateInterval = milliseconds(250);

// The same while this VM neither follows another VM nor is the reader.
constexpr Duration unsettledUpdateInterval = milliseconds(120);
constexpr Duration queryTimeout = milliseconds(300);

// Time limit for a reader that does not answer but is still sending data, such as a long list.
constexpr Duration busyReaderTimeout = std::chrono::seconds(5);

// Older records are not current.
constexpr Duration maximumRecordAge = milliseconds(800);

// Mean pause between two reads of the store while it does not answer; varies by half of it.
constexpr Duration storeReadPause = milliseconds(900);

// Mean time for which a VM that lost its reader searches for another before it reads the store;
// varies by half of it.
constexpr Duration searchPause = milliseconds(400);

// Time for which a VM other than the reader is followed before the reader or the store is tried
// again.
constexpr Duration temporaryFollowTime = milliseconds(2500);

} // namespace

StoreAccess::StoreAccess(Options options)
    : m_options(std::move(options))
    , m_random(m_options.randomSeed)
{}

StoreAccess::~StoreAccess()
{
    m_options.timers.cancel(m_timer);
}

void StoreAccess::start()
{
    m_lastStoreAnswerAt = m_options.timers.now();
    m_options.startWatching();
    update();
}

std::vector<VmRecord> StoreAccess::vmsOfDataCentre(const std::vector<VmRecord> &vms) const
{
    std::vector<VmRecord> neighbours = vms;
    std::erase_if(neighbours,
                  [this](const VmRecord &vm) { return vm.dataCentre != m_options.dataCentre; });
    return neighbours;
}

std::size_t StoreAccess::ownRank(const std::vector<VmRecord> &neighbours) const
{
    const auto self = std::find_if(neighbours.begin(), neighbours.end(),
                                   [this](const VmRecord &vm) { return vm.vm == m_options.self; });
    return static_cast<std::size_t>(self - neighbours.begin());
}

// A VM whose record is not in the store yet reads the store itself.
bool StoreAccess::isReader(const std::vector<VmRecord> &vms) const
{
    const std::vector<VmRecord> neighbours = vmsOfDataCentre(vms);
    const std::size_t rank = ownRank(neighbours);
    return rank == readerRank || rank == neighbours.size();
}

// Returns the reader of this data centre first; if that had no current records, its standby and
// random VMs alternately. Null if the choice is this VM.
const VmRecord *StoreAccess::vmToFollow(const std::vector<VmRecord> &vms,
                                        const std::vector<VmRecord> &neighbours)
{
    const std::size_t attempt = m_attempts++;
    const bool useRandomVm = neighbours.empty() || (m_mode == Mode::Searching && attempt % 2 == 1);
    const std::size_t rank = attempt % 4 == 0 ? standbyRank : readerRank;
    const VmRecord &chosen = useRandomVm ? vms[m_random() % vms.size()]
                                         : neighbours[std::min(rank, neighbours.size() - 1)];
    m_isTemporary = neighbours.empty() || chosen.vm != neighbours[readerRank].vm;
    return chosen.vm == m_options.self ? nullptr : &chosen;
}

void StoreAccess::update()
{
    m_options.timers.cancel(m_timer);
    const bool isSettled = m_mode == Mode::Following || m_isReader;
    m_timer = m_options.timers.after(isSettled ? updateInterval : unsettledUpdateInterval,
                                     [this] { update(); });
    const std::vector<VmRecord> vms = m_options.vms();
    if (vms.empty())
        return;
    const Instant now = m_options.timers.now();
    const bool isReaderNow = m_isReader = isReader(vms);
    if (m_mode == Mode::Following) {
        const bool isTimeOver =
                (m_isTemporary || isReaderNow) && now - m_followedSince > temporaryFollowTime;
        if (isTimeOver)
            startSearch("time limit for temporary following reached");
        return;
    }
    if (m_mode == Mode::Direct && now - m_lastStoreAnswerAt > maximumRecordAge)
        startSearch("store does not answer");
    const bool shouldFollow = m_mode == Mode::Searching || !isReaderNow;
    if (m_follower || !shouldFollow)
        return;
    const std::vector<VmRecord> neighbours = vmsOfDataCentre(vms);
    if (const VmRecord *vm = vmToFollow(vms, neighbours))
        tryFollowing(*vm);
}

void StoreAccess::tryFollowing(const VmRecord &vm)
{
    m_followed = vm.vm;
    m_lastCurrentAt = m_options.timers.now();
    m_follower = std::make_unique<FeedFollower>(
            m_options.loop, m_options.timers,
            FeedFollower::Options{.reader = vm.peers,
                                  .localIp = m_options.localIp,
                                  .mirror = m_options.mirror,
                                  .onWakeUp = m_options.onWakeUp,
                                  .onLost = [this](const Error &error) {
                                      startSearch(error.message);
                                  }});
    queryFollowed([](const Result<DatedRecords> &) {});
}

void StoreAccess::queryFollowed(ReadDone done)
{
    m_follower->requestRecords(
            queryTimeout, [this, done = std::move(done)](const Result<DatedRecords> &records) {
                if (!m_follower)
                    return;
                const Instant now = m_options.timers.now();
                const bool isCurrent = records && now - records.value().askedAt <= maximumRecordAge;
                if (isCurrent)
                    m_lastCurrentAt = now;
                const bool isSending = !records && records.error().code == ErrorCode::Timeout
                                       && now - m_follower->lastReceived() < queryTimeout
                                       && now - m_lastCurrentAt < busyReaderTimeout;
                if (!isCurrent && !isSending)
                    startSearch(records ? "records of the followed VM are too old"
                                        : records.error().message);
                else if (isCurrent && m_mode != Mode::Following)
                    follow();
                done(records);
            });
}

void StoreAccess::follow()
{
    m_options.log.info("feed-followed", {{"vm", m_followed}, {"temporary", m_isTemporary}});
    const bool wasDirect = m_mode == Mode::Direct;
    m_mode = Mode::Following;
    m_followedSince = m_options.timers.now();
    if (wasDirect)
        m_options.stopWatching();
    m_options.onWakeUp();
}

void StoreAccess::startSearch(const std::string &reason)
{
    removeFollower();
    // A VM that reads the store successfully is not affected by a failed attempt to follow another.
    const bool isReadingStore = m_mode == Mode::Direct
                                && m_options.timers.now() - m_lastStoreAnswerAt <= maximumRecordAge;
    if (isReadingStore || m_mode == Mode::Searching)
        return;
    m_options.log.info("feed-search-started", {{"vm", m_followed}, {"reason", reason}});
    m_options.counters.counter("fescuespring_store_sought_total").add();
    if (m_mode == Mode::Direct)
        m_options.stopWatching();
    m_mode = Mode::Searching;
    // The reader and the standby read the store immediately; the others first search for one of
    // them.
    m_nextStoreReadAt = m_options.timers.now();
    if (ownRank(vmsOfDataCentre(m_options.vms())) > standbyRank)
        m_nextStoreReadAt += randomPause(searchPause);
    m_options.timers.cancel(m_timer);
    m_timer = m_options.timers.after(Duration(0), [this] { update(); });
    m_options.onWakeUp();
}

// Returns a random time between 0.5 and 1.5 times the mean.
Duration StoreAccess::randomPause(Duration mean)
{
    using Count = Duration::rep;
    return Duration(
            std::uniform_int_distribution<Count>(mean.count() / 2, mean.count() * 3 / 2)(m_random));
}

void StoreAccess::removeFollower()
{
    if (!m_follower)
        return;
    // Deferred because the follower may be the caller.
    const auto follower = std::make_shared<std::unique_ptr<FeedFollower>>(std::move(m_follower));
    m_options.timers.after(Duration(0), [follower] {});
}

void StoreAccess::switchToDirect()
{
    m_options.log.info("store-read-directly", {});
    removeFollower();
    m_mode = Mode::Direct;
    m_options.startWatching();
}

void StoreAccess::readRecords(ReadDone done)
{
    if (m_mode == Mode::Following) {
        queryFollowed(std::move(done));
        return;
    }
    const Instant now = m_options.timers.now();
    if (m_mode == Mode::Searching && now < m_nextStoreReadAt) {
        m_options.timers.after(Duration(0), [done = std::move(done)] {
            done(Error{ErrorCode::Unavailable, "no current leadership records available"});
        });
        return;
    }
    m_nextStoreReadAt = now + randomPause(storeReadPause);
    readDirectly(std::move(done));
}

void StoreAccess::readDirectly(ReadDone done)
{
    m_options.readFromStore([this, done = std::move(done)](const Result<DatedRecords> &records) {
        if (records) {
            m_lastStoreAnswerAt = m_options.timers.now();
            if (m_mode == Mode::Searching)
                switchToDirect();
        }
        done(records);
    });
}

} // namespace fescuespring
