#include "coordination/storeaccess.h"

#include <algorithm>
#include <utility>

namespace fescuespring {

namespace {

using std::chrono::milliseconds;

constexpr Duration considerInterval = milliseconds(250);
constexpr Duration askTimeout = milliseconds(300);

// Records that are older are not fresh.
constexpr Duration oldestRecords = milliseconds(800);

// Pause between two questions to the store while it does not answer; spread by half of it.
constexpr Duration storePause = milliseconds(900);

// Time for which a VM that is no reader is followed before a reader, or the store, is tried again.
constexpr Duration stopgapTime = milliseconds(2500);

constexpr std::size_t vmsForTwoReaders = 5;

} // namespace

std::size_t storeReaderCount(std::size_t vms)
{
    return vms >= vmsForTwoReaders ? 2 : 1;
}

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
    m_attempts = m_random();
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

bool StoreAccess::isReader(const std::vector<VmRecord> &vms) const
{
    const std::vector<VmRecord> near = nearVms(vms);
    const auto self = std::find_if(near.begin(), near.end(),
                                   [this](const VmRecord &vm) { return vm.vm == m_options.self; });
    const auto rank = static_cast<std::size_t>(self - near.begin());
    return self == near.end() || rank < storeReaderCount(near.size());
}

// A reader of this data centre at first; where that had nothing fresh, any VM.
const VmRecord *StoreAccess::leaderToFollow(const std::vector<VmRecord> &vms)
{
    const std::vector<VmRecord> near = nearVms(vms);
    const std::size_t attempt = m_attempts++;
    const bool anyVm = m_mode == Mode::Seeking && attempt % 2 == 0;
    const VmRecord &chosen = anyVm || near.empty()
                                     ? vms[m_random() % vms.size()]
                                     : near[(attempt / 2) % storeReaderCount(near.size())];
    const auto found = std::find_if(vms.begin(), vms.end(),
                                    [&chosen](const VmRecord &vm) { return vm.vm == chosen.vm; });
    m_isStopgap = anyVm || near.empty();
    return found->vm == m_options.self ? nullptr : &*found;
}

void StoreAccess::consider()
{
    m_timer = m_options.timers.after(considerInterval, [this] { consider(); });
    const std::vector<VmRecord> vms = m_options.vms();
    if (vms.empty())
        return;
    const Instant now = m_options.timers.now();
    const bool reads = isReader(vms);
    if (m_mode == Mode::Following) {
        const bool isOver = (m_isStopgap || reads) && now - m_followedSince > stopgapTime;
        if (isOver) {
            m_askStoreFrom = now;
            seek("stopgap is over");
        }
        return;
    }
    if (m_mode == Mode::Direct && now - m_lastAnswer > oldestRecords)
        seek("the store does not answer");
    const bool mayFollow = m_mode == Mode::Seeking || !reads;
    if (m_follower || !mayFollow)
        return;
    if (const VmRecord *vm = leaderToFollow(vms))
        tryFollowing(*vm);
}

void StoreAccess::tryFollowing(const VmRecord &vm)
{
    m_followed = vm.vm;
    m_follower = std::make_unique<FeedFollower>(
            m_options.loop, m_options.timers,
            FeedFollower::Options{.reader = vm.peers,
                                  .localIp = m_options.localIp,
                                  .mirror = m_options.mirror,
                                  .onNudge = m_options.onNudge,
                                  .onLost = [this](const Error &error) {
                                      seek(error.message);
                                  }});
    askFollowed([](const Result<DatedRecords> &) {});
}

void StoreAccess::askFollowed(ReadDone done)
{
    m_follower->ask(
            askTimeout, [this, done = std::move(done)](const Result<DatedRecords> &records) {
                if (!m_follower)
                    return;
                const Instant now = m_options.timers.now();
                const bool isFresh = records && now - records.value().askedAt <= oldestRecords;
                if (!isFresh)
                    seek(records ? "it is behind" : records.error().message);
                else if (m_mode != Mode::Following)
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
    m_options.onNudge();
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
    m_options.onNudge();
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
    using Count = Duration::rep;
    const Duration pause(std::uniform_int_distribution<Count>(
            storePause.count() / 2, storePause.count() * 3 / 2)(m_random));
    m_askStoreFrom = now + pause;
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
