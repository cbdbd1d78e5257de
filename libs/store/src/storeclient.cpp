#include "store/storeclient.h"

#include "tokenbucket.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <random>
#include <utility>

namespace fescuespring {

using std::chrono::milliseconds;

namespace {

constexpr std::array outcomeNames{"written", "conflict", "unknown", "not-written"};

// Consecutive failures after which the backoff no longer grows.
constexpr int maximumDoublings = 16;

enum class CallKind {
    Read,
    List,
    Vms,
    Write,
    // Reads the object to determine the outcome of a write.
    ReadBack,
    Watch,
};

// One call of a user of the client, with everything needed to resend it.
struct Call
{
    CallKind kind = CallKind::Read;
    std::string key;
    Instant deadline = Instant::max();
    Instant notBefore;
    int failures = 0;
    Error lastError = {ErrorCode::Timeout, "the deadline passed before the call was sent"};

    ObjectStore::ReadDone readDone;
    ObjectStore::ListDone listDone;
    ObjectStore::VmsDone vmsDone;

    ObjectWrite write;
    WriteMark mark;
    StoreClient::WriteDone writeDone;
    // A write was sent and its reply did not arrive.
    bool isAmbiguous = false;

    ObjectVersion after;
    StoreClient::Changed changed;
    bool isCancelled = false;
};

using CallPointer = std::shared_ptr<Call>;

bool canRetry(ErrorCode code)
{
    switch (code) {
    case ErrorCode::Timeout:
    case ErrorCode::Unreachable:
    case ErrorCode::ConnectionLost:
    case ErrorCode::Refused:
    case ErrorCode::Unavailable:
        return true;
    default:
        return false;
    }
}

// True if a write that failed with this code may have taken effect.
bool mayHaveTakenEffect(ErrorCode code)
{
    return code == ErrorCode::Timeout || code == ErrorCode::ConnectionLost
           || code == ErrorCode::Malformed;
}

ObjectVersion newerVersion(ObjectVersion a, ObjectVersion b)
{
    return a.value() > b.value() ? a : b;
}

// Outcome of a write according to an object read after an attempt; nullopt if the write has not
// taken effect and may be resent.
std::optional<WriteOutcome> outcomeFromRead(const Call &call, const StoredObject &current)
{
    if (current.version == call.write.ifVersion)
        return std::nullopt;
    if (!call.isAmbiguous)
        return WriteOutcome::Conflict;
    if (call.mark) {
        const std::optional<bool> marked = call.mark(current);
        if (!marked)
            return WriteOutcome::Unknown;
        return *marked ? WriteOutcome::Written : WriteOutcome::Conflict;
    }
    if (current.version != call.write.ifVersion.next())
        return WriteOutcome::Unknown;
    return current.value == call.write.value ? WriteOutcome::Written : WriteOutcome::Conflict;
}

} // namespace

const char *toString(WriteOutcome outcome)
{
    return outcomeNames[static_cast<std::size_t>(outcome)];
}

class StoreClient::Data : public std::enable_shared_from_this<StoreClient::Data>
{
public:
    Data(ObjectStore &store, StoreClientOptions options, Counters &counters)
        : m_store(store)
        , m_options(options)
        , m_counters(counters)
        , m_readBacks(counters.counter("fescuespring_store_read_backs_total"))
        , m_rateLimitWaits(counters.counter("fescuespring_store_budget_waits_total"))
        , m_refused(counters.counter("fescuespring_store_queue_refused_total"))
        , m_rateLimit(options.callsPerSecond, options.burst)
        , m_random(options.randomSeed)
    {}

    void submit(CallPointer call, Instant now);
    void tick(Instant now);
    void unwatch(const std::string &key);
    void raiseMinimumVersion(const std::string &key, ObjectVersion version);
    bool isReachable() const
    {
        return m_isReachable;
    }

private:
    void sendDue();
    void expire();
    void send(const CallPointer &call);
    void sendRead(const CallPointer &call, milliseconds timeout);
    void sendWrite(const CallPointer &call, milliseconds timeout);
    void sendWatch(const CallPointer &call);
    milliseconds timeoutOf(const Call &call) const;

    void handleObject(const CallPointer &call, const Result<StoredObject> &result);
    void handleWatch(const CallPointer &call, const Result<StoredObject> &result);
    void handleWrite(const CallPointer &call, const Result<WriteAnswer> &result);
    void handleReadBack(const CallPointer &call, const StoredObject &current);
    template <typename Done, typename T>
    void handleValue(const CallPointer &call, const Done &done, const Result<T> &result);

    void retry(const CallPointer &call, const Error &error);
    void queue(const CallPointer &call);
    void fail(const Call &call, const Error &error);
    bool isStale(const StoredObject &object);
    template <typename T>
    void recordResult(const Result<T> &result);
    void countCall(const char *outcome);

    // Wraps a handler in a callback that does nothing once the client is destroyed.
    template <typename T, typename Handler>
    std::function<void(const Result<T> &)> guarded(Handler handler)
    {
        return [weak = weak_from_this(), handler](const Result<T> &result) {
            if (const std::shared_ptr<Data> self = weak.lock()) {
                self->recordResult(result);
                handler(*self, result);
            }
        };
    }

    ObjectStore &m_store;
    StoreClientOptions m_options;
    Counters &m_counters;
    Counter &m_readBacks;
    Counter &m_rateLimitWaits;
    Counter &m_refused;
    detail::TokenBucket m_rateLimit;
    std::mt19937_64 m_random;
    Instant m_now;
    std::deque<CallPointer> m_waiting;
    std::vector<CallPointer> m_rejected;
    std::map<std::string, CallPointer> m_watches;
    std::map<std::string, ObjectVersion> m_minimumVersions;
    bool m_isReachable = false;
};

void StoreClient::Data::submit(CallPointer call, Instant now)
{
    m_now = std::max(m_now, now);
    if (call->kind == CallKind::Watch) {
        unwatch(call->key);
        m_watches[call->key] = call;
    }
    if (m_waiting.size() >= m_options.queue && call->kind != CallKind::Watch) {
        m_refused.add();
        m_rejected.push_back(std::move(call));
        return;
    }
    queue(call);
    sendDue();
}

void StoreClient::Data::tick(Instant now)
{
    m_now = std::max(m_now, now);
    const std::vector<CallPointer> refused = std::exchange(m_rejected, {});
    for (const CallPointer &call : refused)
        fail(*call, {ErrorCode::Unavailable, "too many calls are waiting for the store"});
    expire();
    sendDue();
}

void StoreClient::Data::expire()
{
    std::vector<CallPointer> expired;
    std::erase_if(m_waiting, [&](const CallPointer &call) {
        if (call->deadline > m_now)
            return false;
        expired.push_back(call);
        return true;
    });
    for (const CallPointer &call : expired)
        fail(*call, call->lastError);
}

// Sends the calls that are due, in order, as far as the rate limit allows.
void StoreClient::Data::sendDue()
{
    for (auto next = m_waiting.begin(); next != m_waiting.end();) {
        const CallPointer call = *next;
        if (call->isCancelled) {
            next = m_waiting.erase(next);
            continue;
        }
        if (call->notBefore > m_now || call->deadline <= m_now) {
            ++next;
            continue;
        }
        if (!m_rateLimit.tryTake(m_now)) {
            m_rateLimitWaits.add();
            return;
        }
        next = m_waiting.erase(next);
        send(call);
    }
}

milliseconds StoreClient::Data::timeoutOf(const Call &call) const
{
    if (call.deadline == Instant::max())
        return m_options.callTimeout;
    const auto remaining = std::chrono::duration_cast<milliseconds>(call.deadline - m_now);
    return std::clamp(remaining, milliseconds(1), m_options.callTimeout);
}

void StoreClient::Data::send(const CallPointer &call)
{
    const milliseconds timeout = timeoutOf(*call);
    switch (call->kind) {
    case CallKind::Read:
        sendRead(call, timeout);
        break;
    case CallKind::ReadBack:
        m_readBacks.add();
        sendRead(call, timeout);
        break;
    case CallKind::List:
        m_store.list(call->key, timeout,
                     guarded<std::vector<StoredObject>>([call](Data &self, const auto &result) {
                         self.handleValue(call, call->listDone, result);
                     }));
        break;
    case CallKind::Vms:
        m_store.vms(timeout,
                    guarded<std::vector<PlatformVm>>([call](Data &self, const auto &result) {
                        self.handleValue(call, call->vmsDone, result);
                    }));
        break;
    case CallKind::Write:
        sendWrite(call, timeout);
        break;
    case CallKind::Watch:
        sendWatch(call);
        break;
    }
}

void StoreClient::Data::sendRead(const CallPointer &call, milliseconds timeout)
{
    m_store.read(call->key, timeout, guarded<StoredObject>([call](Data &self, const auto &result) {
                     self.handleObject(call, result);
                 }));
}

void StoreClient::Data::sendWrite(const CallPointer &call, milliseconds timeout)
{
    m_store.write(call->write, timeout,
                  guarded<WriteAnswer>([call](Data &self, const auto &result) {
                      self.handleWrite(call, result);
                  }));
}

void StoreClient::Data::sendWatch(const CallPointer &call)
{
    // Versions already received from other VMs need not be fetched from the store.
    call->after = newerVersion(call->after, m_minimumVersions[call->key]);
    m_store.watch(call->key, call->after, m_options.watchWait,
                  guarded<StoredObject>([call](Data &self, const auto &result) {
                      self.handleWatch(call, result);
                  }));
}

template <typename Done, typename T>
void StoreClient::Data::handleValue(const CallPointer &call, const Done &done,
                                    const Result<T> &result)
{
    if (!result && canRetry(result.error().code)) {
        retry(call, result.error());
        return;
    }
    done(result);
}

void StoreClient::Data::handleObject(const CallPointer &call, const Result<StoredObject> &result)
{
    if (result && isStale(result.value())) {
        retry(call, {ErrorCode::Unavailable, "the store returned an older version"});
        return;
    }
    if (call->kind == CallKind::Read) {
        handleValue(call, call->readDone, result);
        return;
    }
    if (result)
        handleReadBack(call, result.value());
    else
        retry(call, result.error());
}

void StoreClient::Data::handleWrite(const CallPointer &call, const Result<WriteAnswer> &result)
{
    if (result && result.value().written) {
        raiseMinimumVersion(call->key, result.value().version);
        call->writeDone({.outcome = WriteOutcome::Written,
                         .current = {call->key, result.value().version, call->write.value}});
        return;
    }
    if (!result && mayHaveTakenEffect(result.error().code))
        call->isAmbiguous = true;
    if (result || call->isAmbiguous)
        call->kind = CallKind::ReadBack;
    if (result)
        queue(call);
    else
        retry(call, result.error());
}

void StoreClient::Data::handleReadBack(const CallPointer &call, const StoredObject &current)
{
    const std::optional<WriteOutcome> outcome = outcomeFromRead(*call, current);
    if (outcome) {
        if (call->isAmbiguous)
            m_counters.counter("fescuespring_store_ambiguous_total", "outcome", toString(*outcome))
                    .add();
        call->writeDone({.outcome = *outcome, .current = current});
        return;
    }
    // Not applied yet. If the lost attempt is still in flight, only one of the two can take effect.
    call->kind = CallKind::Write;
    queue(call);
    sendDue();
}

void StoreClient::Data::handleWatch(const CallPointer &call, const Result<StoredObject> &result)
{
    if (call->isCancelled)
        return;
    if (!result) {
        retry(call, result.error());
        return;
    }
    if (isStale(result.value())) {
        // The store may lag behind the versions that other VMs have received; retry later.
        retry(call, {ErrorCode::Unavailable, "the store returned an older version"});
        return;
    }
    call->failures = 0;
    call->notBefore = m_now;
    queue(call);
    if (result.value().version.value() <= call->after.value())
        return;
    call->after = result.value().version;
    call->changed(result.value());
}

void StoreClient::Data::retry(const CallPointer &call, const Error &error)
{
    const int doublings = std::min(call->failures, maximumDoublings);
    const Duration limit =
            std::min<Duration>(m_options.maximumBackoff, m_options.firstBackoff * (1 << doublings));
    const auto wait = Duration(1 + static_cast<Duration::rep>(m_random() % limit.count()));
    ++call->failures;
    call->lastError = error;
    call->notBefore = m_now + wait;
    if (call->notBefore >= call->deadline)
        fail(*call, error);
    else
        queue(call);
}

void StoreClient::Data::queue(const CallPointer &call)
{
    m_waiting.push_back(call);
}

void StoreClient::Data::fail(const Call &call, const Error &error)
{
    switch (call.kind) {
    case CallKind::Read:
        call.readDone(error);
        break;
    case CallKind::List:
        call.listDone(error);
        break;
    case CallKind::Vms:
        call.vmsDone(error);
        break;
    case CallKind::Write:
    case CallKind::ReadBack: {
        // A conflict remains a conflict if the current object could not be read.
        const bool isRefused = call.kind == CallKind::ReadBack && !call.isAmbiguous;
        WriteResult result;
        result.outcome = call.isAmbiguous ? WriteOutcome::Unknown
                         : isRefused      ? WriteOutcome::Conflict
                                          : WriteOutcome::NotWritten;
        result.error = error;
        call.writeDone(result);
        break;
    }
    case CallKind::Watch:
        break;
    }
}

// True for an object older than its minimum version, which is counted; otherwise raises the
// minimum version to the object's.
bool StoreClient::Data::isStale(const StoredObject &object)
{
    ObjectVersion &minimum = m_minimumVersions[object.key];
    if (object.version.value() < minimum.value()) {
        countCall("stale");
        return true;
    }
    minimum = object.version;
    return false;
}

template <typename T>
void StoreClient::Data::recordResult(const Result<T> &result)
{
    m_isReachable = result.has_value();
    countCall(result ? "answered" : toString(result.error().code));
}

void StoreClient::Data::countCall(const char *outcome)
{
    m_counters.counter("fescuespring_store_calls_total", "outcome", outcome).add();
}

void StoreClient::Data::unwatch(const std::string &key)
{
    const auto found = m_watches.find(key);
    if (found == m_watches.end())
        return;
    found->second->isCancelled = true;
    m_watches.erase(found);
}

void StoreClient::Data::raiseMinimumVersion(const std::string &key, ObjectVersion version)
{
    ObjectVersion &minimum = m_minimumVersions[key];
    minimum = newerVersion(minimum, version);
}

StoreClient::StoreClient(ObjectStore &store, StoreClientOptions options, Counters &counters)
    : m_data(std::make_shared<Data>(store, options, counters))
{}

StoreClient::~StoreClient() = default;

void StoreClient::tick(Instant now)
{
    m_data->tick(now);
}

void StoreClient::read(const std::string &key, Instant now, Instant deadline, ReadDone done)
{
    auto call = std::make_shared<Call>();
    call->key = key;
    call->deadline = deadline;
    call->readDone = std::move(done);
    m_data->submit(std::move(call), now);
}

void StoreClient::list(const std::string &prefix, Instant now, Instant deadline, ListDone done)
{
    auto call = std::make_shared<Call>();
    call->kind = CallKind::List;
    call->key = prefix;
    call->deadline = deadline;
    call->listDone = std::move(done);
    m_data->submit(std::move(call), now);
}

void StoreClient::vms(Instant now, Instant deadline, VmsDone done)
{
    auto call = std::make_shared<Call>();
    call->kind = CallKind::Vms;
    call->deadline = deadline;
    call->vmsDone = std::move(done);
    m_data->submit(std::move(call), now);
}

void StoreClient::write(const ObjectWrite &write, Instant now, Instant deadline, WriteDone done,
                        WriteMark mark)
{
    auto call = std::make_shared<Call>();
    call->kind = CallKind::Write;
    call->key = write.key;
    call->write = write;
    call->deadline = deadline;
    call->writeDone = std::move(done);
    call->mark = std::move(mark);
    m_data->raiseMinimumVersion(write.key, write.ifVersion);
    m_data->submit(std::move(call), now);
}

void StoreClient::watch(const std::string &key, ObjectVersion after, Instant now, Changed changed)
{
    auto call = std::make_shared<Call>();
    call->kind = CallKind::Watch;
    call->key = key;
    call->after = after;
    call->changed = std::move(changed);
    m_data->submit(std::move(call), now);
}

void StoreClient::unwatch(const std::string &key)
{
    m_data->unwatch(key);
}

void StoreClient::raiseMinimumVersion(const std::string &key, ObjectVersion version)
{
    m_data->raiseMinimumVersion(key, version);
}

bool StoreClient::isReachable() const
{
    return m_data->isReachable();
}

} // namespace fescuespring
