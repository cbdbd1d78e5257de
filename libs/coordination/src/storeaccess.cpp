#include "coordination/storeaccess.h"

#include <algorithm>
#include <utility>

namespace fescuespring {

namespace {

using std::chrono::milliseconds;

constexpr Duration considerInterval = milliseconds(500);
constexpr Duration askTimeout = milliseconds(300);

// Records that are older are no better than asking the store.
constexpr Duration oldestRecords = milliseconds(800);

// After a reader was given up, this VM reads the store itself for a while between these bounds.
constexpr Duration shortestOwnReading = milliseconds(1500);
constexpr Duration longestOwnReading = milliseconds(4000);

// Time for which a VM that the store turned away does without it.
constexpr Duration refugeTime = milliseconds(2500);

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
    m_nextReader = m_random();
    m_lastAnswer = m_options.timers.now();
    m_options.startWatching();
    consider();
}

void StoreAccess::consider()
{
    m_timer = m_options.timers.after(considerInterval, [this] { consider(); });
    const std::vector<VmRecord> vms = m_options.vms();
    if (vms.empty())
        return;
    std::vector<VmRecord> near = vms;
    std::erase_if(near, [this](const VmRecord &vm) {
        return vm.dataCentre != m_options.dataCentre;
    });
    const auto self = std::find_if(near.begin(), near.end(), [this](const VmRecord &vm) {
        return vm.vm == m_options.self;
    });
    const std::size_t readers = storeReaderCount(near.size());
    const auto rank = static_cast<std::size_t>(self - near.begin());
    const bool mustRead = self == near.end() || rank < readers;
    if (mustRead)
        considerAsReader(vms);
    else if (!m_follower && isStoreLost())
        seekRefuge(vms);
    else if (!m_follower && m_options.timers.now() >= m_followFrom)
        tryFollowing(near[m_nextReader % readers]);
}

void StoreAccess::considerAsReader(const std::vector<VmRecord> &vms)
{
    if (m_follower && m_options.timers.now() >= m_refugeUntil)
        stopFollowing("is-reader");
    else if (!m_follower && isStoreLost())
        seekRefuge(vms);
}

bool StoreAccess::isStoreLost() const
{
    return m_options.timers.now() - m_lastAnswer > oldestRecords;
}

void StoreAccess::seekRefuge(const std::vector<VmRecord> &vms)
{
    const VmRecord &vm = vms[std::uniform_int_distribution<std::size_t>(0, vms.size() - 1)(m_random)];
    if (vm.vm == m_options.self)
        return;
    m_refugeUntil = m_options.timers.now() + refugeTime;
    tryFollowing(vm);
}

void StoreAccess::tryFollowing(const VmRecord &reader)
{
    m_reader = reader.vm;
    m_follower = std::make_unique<FeedFollower>(
            m_options.loop, m_options.timers,
            FeedFollower::Options{
                    .reader = reader.peers,
                    .localIp = m_options.localIp,
                    .mirror = m_options.mirror,
                    .onNudge = m_options.onNudge,
                    .onLost = [this](const Error &error) { giveUpFollowing(error.message); }});
    askReader([this](const Result<DatedRecords> &records) {
        const Instant now = m_options.timers.now();
        if (records && now - records.value().askedAt <= oldestRecords)
            follow();
    });
}

void StoreAccess::follow()
{
    m_options.log.info("store-followed", {{"reader", m_reader}});
    m_isFollowing = true;
    m_options.stopWatching();
}

void StoreAccess::askReader(ReadDone done)
{
    m_follower->ask(askTimeout, [this, done = std::move(done)](
                                        const Result<DatedRecords> &records) {
        if (!records) {
            giveUpFollowing(records.error().message);
            done(records.error());
            return;
        }
        const Duration age = m_options.timers.now() - records.value().askedAt;
        done(records);
        if (age > oldestRecords)
            giveUpFollowing("the reader is behind");
    });
}

void StoreAccess::readRecords(ReadDone done)
{
    if (m_isFollowing)
        askReader(std::move(done));
    else
        readDirectly(std::move(done));
}

void StoreAccess::readDirectly(ReadDone done)
{
    m_options.readFromStore([this, done = std::move(done)](const Result<DatedRecords> &records) {
        if (records)
            m_lastAnswer = m_options.timers.now();
        done(records);
    });
}

void StoreAccess::giveUpFollowing(const std::string &reason)
{
    if (!m_follower)
        return;
    using Count = Duration::rep;
    const Duration pause(std::uniform_int_distribution<Count>(
            shortestOwnReading.count(), longestOwnReading.count())(m_random));
    m_followFrom = m_options.timers.now() + pause;
    ++m_nextReader;
    stopFollowing(reason.c_str());
}

void StoreAccess::stopFollowing(const char *reason)
{
    m_options.counters.counter("fescuespring_store_readers_given_up_total").add();
    if (std::exchange(m_isFollowing, false)) {
        m_options.log.info("store-read-directly", {{"reader", m_reader}, {"reason", reason}});
        m_lastAnswer = m_options.timers.now();
        m_options.startWatching();
    }
    // The follower may be the caller.
    const auto kept = std::make_shared<std::unique_ptr<FeedFollower>>(std::move(m_follower));
    m_options.timers.after(Duration(0), [kept] {});
    m_options.onNudge();
}

} // namespace fescuespring
