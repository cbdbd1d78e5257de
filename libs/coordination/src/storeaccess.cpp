#include "coordination/storeaccess.h"

#include <algorithm>
#include <utility>

namespace fescuespring {

namespace {

using std::chrono::milliseconds;

constexpr Duration considerInterval = milliseconds(250);

// The same while this VM neither follows nor is to read.
constexpr Duration unsettledInterval = milliseconds(120);
constexpr Duration askTimeout = milliseconds(300);

// A reader that owes an answer but is sending, such as a long list to all, is waited for this long.
constexpr Duration busyReaderPatience = std::chrono::seconds(5);

// Records that are older are not fresh.
constexpr Duration oldestRecords = milliseconds(800);

// Pause between two questions to the store while it does not answer; spread by half of it.
constexpr Duration storePause = milliseconds(900);

// Time for which a VM that has lost its reader looks for another before it asks the store; spread
// by half of it.
constexpr Duration seekPause = milliseconds(400);

// Time for which a VM that is no reader is followed before a reader, or the store, is tried again.
constexpr Duration stopgapTime = milliseconds(2500);

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
    m_lastAnswer = m_options.timers.now();
    m_options.startWatching();
    consider();
}

std::vector<VmRecord> StoreAccess::nearVms(const std::vector<VmRecord> &vms) const
{
    std::vector<VmRecord> near = vms;
    std::erase_if(near,
                  [this](const VmRecord &vm) { return vm.dataCentre != m_options.dataCentre; });
    return near;
}

std::size_t StoreAccess::ownRank(const std::vector<VmRecord> &near) const
{
    const auto self = std::find_if(near.begin(), near.end(),
                                   [this](const VmRecord &vm) { return vm.vm == m_options.self; });
    return static_cast<std::size_t>(self - near.begin());
}

// A VM that is not on record yet reads for itself.
bool StoreAccess::isReader(const std::vector<VmRecord> &vms) const
{
    const std::vector<VmRecord> near = nearVms(vms);
    const std::size_t rank = ownRank(near);
    return rank == readerRank || rank == near.size();
}

// The reader of this data centre at first; where that had nothing fresh, its standby and any VM in
// turn.
const VmRecord *StoreAccess::leaderToFollow(const std::vector<VmRecord> &vms,
                                            const std::vector<VmRecord> &near)
{
    const std::size_t attempt = m_attempts++;
    const bool asksAnybody = near.empty() || (m_mode == Mode::Seeking && attempt % 2 == 1);
    const std::size_t rank = attempt % 4 == 0 ? standbyRank : readerRank;
    const VmRecord &chosen =
            asksAnybody ? vms[m_random() % vms.size()] : near[std::min(rank, near.size() - 1)];
    m_isStopgap = near.empty() || chosen.vm != near[readerRank].vm;
    return chosen.vm == m_options.self ? nullptr : &chosen;
}

void StoreAccess::consider()
{
    m_options.timers.cancel(m_timer);
    const bool isSettled = m_mode == Mode::Following || m_isReader;
    m_timer = m_options.timers.after(isSettled ? considerInterval : unsettledInterval,
                                     [this] { consider(); });
    const std::vector<VmRecord> vms = m_options.vms();
    if (vms.empty())
        return;
    const Instant now = m_options.timers.now();
    const bool reads = m_isReader = isReader(vms);
    if (m_mode == Mode::Following) {
        const bool isOver = (m_isStopgap || reads) && now - m_followedSince > stopgapTime;
        if (isOver)
            seek("stopgap is over");
        return;
    }
    if (m_mode == Mode::Direct && now - m_lastAnswer > oldestRecords)
        seek("the store does not answer");
    const bool mayFollow = m_mode == Mode::Seeking || !reads;
    if (m_follower || !mayFollow)
        return;
    const std::vector<VmRecord> near = nearVms(vms);
    if (const VmRecord *vm = leaderToFollow(vms, near))
        tryFollowing(*vm);
}

void StoreAccess::tryFollowing(const VmRecord &vm)
{
    m_followed = vm.vm;
    m_lastFresh = m_options.timers.now();
    m_follower = std::make_unique<FeedFollower>(
            m_options.loop, m_options.timers,
            FeedFollower::Options{.reader = vm.peers,
                                  .localIp = m_options.localIp,
                                  .mirror = m_options.mirror,
                                  .onWakeUp = m_options.onWakeUp,
                                  .onLost = [this](const Error &error) {
                                      seek(error.message);
                                  }});
    askFollowed([](const Result<DatedRecords> &) {});
}

void StoreAccess::askFollowed(ReadDone done)
{
    m_follower->requestRecords(
            askTimeout, [this, done = std::move(done)](const Result<DatedRecords> &records) {
                if (!m_follower)
                    return;
                const Instant now = m_options.timers.now();
                const bool isFresh = records && now - records.value().askedAt <= oldestRecords;
                if (isFresh)
                    m_lastFresh = now;
                const bool isSending = !records && records.error().code == ErrorCode::Timeout
                                       && now - m_follower->lastReceived() < askTimeout
                                       && now - m_lastFresh < busyReaderPatience;
                if (!isFresh && !isSending)
                    seek(records ? "it is behind" : records.error().message);
                else if (isFresh && m_mode != Mode::Following)
                    follow();
                done(records);
            });
}

void StoreAccess::follow()
{
    m_options.log.info("store-followed", {{"vm", m_followed}, {"stopgap", m_isStopgap}});
    const bool wasDirect = m_mode == Mode::Direct;
    m_mode = Mode::Following;
    m_followedSince = m_options.timers.now();
    if (wasDirect)
        m_options.stopWatching();
    m_options.onWakeUp();
}

void StoreAccess::seek(const std::string &reason)
{
    dropFollower();
    // A VM that reads the store is none the worse for one that it could not follow.
    const bool isServed =
            m_mode == Mode::Direct && m_options.timers.now() - m_lastAnswer <= oldestRecords;
    if (isServed || m_mode == Mode::Seeking)
        return;
    m_options.log.info("store-sought", {{"vm", m_followed}, {"reason", reason}});
    m_options.counters.counter("fescuespring_store_sought_total").add();
    if (m_mode == Mode::Direct)
        m_options.stopWatching();
    m_mode = Mode::Seeking;
    // Reader and standby ask the store at once; the others find one of them before they ask it.
    m_askStoreFrom = m_options.timers.now();
    if (ownRank(nearVms(m_options.vms())) > standbyRank)
        m_askStoreFrom += drawPause(seekPause);
    m_options.timers.cancel(m_timer);
    m_timer = m_options.timers.after(Duration(0), [this] { consider(); });
    m_options.onWakeUp();
}

// Between half of a time and one and a half of it.
Duration StoreAccess::drawPause(Duration mean)
{
    using Count = Duration::rep;
    return Duration(
            std::uniform_int_distribution<Count>(mean.count() / 2, mean.count() * 3 / 2)(m_random));
}

void StoreAccess::dropFollower()
{
    if (!m_follower)
        return;
    // The follower may be the caller.
    const auto kept = std::make_shared<std::unique_ptr<FeedFollower>>(std::move(m_follower));
    m_options.timers.after(Duration(0), [kept] {});
}

void StoreAccess::enterDirect()
{
    m_options.log.info("store-read-directly", {});
    dropFollower();
    m_mode = Mode::Direct;
    m_options.startWatching();
}

void StoreAccess::readRecords(ReadDone done)
{
    if (m_mode == Mode::Following) {
        askFollowed(std::move(done));
        return;
    }
    const Instant now = m_options.timers.now();
    if (m_mode == Mode::Seeking && now < m_askStoreFrom) {
        m_options.timers.after(Duration(0), [done = std::move(done)] {
            done(Error{ErrorCode::Unavailable, "nothing fresh is to be had"});
        });
        return;
    }
    m_askStoreFrom = now + drawPause(storePause);
    readDirectly(std::move(done));
}

void StoreAccess::readDirectly(ReadDone done)
{
    m_options.readFromStore([this, done = std::move(done)](const Result<DatedRecords> &records) {
        if (records) {
            m_lastAnswer = m_options.timers.now();
            if (m_mode == Mode::Seeking)
                enterDirect();
        }
        done(records);
    });
}

} // namespace fescuespring
