#include "store/storeclient.h"

#include "budget.h"

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

// Failures in a row after which the backoff grows no more.
constexpr int mostDoublings = 16;

enum class CallKind {
    Read,
    List,
    Vms,
    Write,
    // Finds out what became of a write.
    ReadBack,
    Watch,
};

// One call of a user of the client, with everything it takes to send it again.
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
    // An attempt to write was sent and its answer did not come.
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

// True where a write that ended so may have taken effect.
bool mayHaveTakenEffect(ErrorCode code)
{
    return code == ErrorCode::Timeout || code == ErrorCode::ConnectionLost
           || code == ErrorCode::Malformed;
}

ObjectVersion newerOf(ObjectVersion a, ObjectVersion b)
{
    return a.value() > b.value() ? a : b;
}

// What an object read after an attempt says about the write; nothing where the write has not taken
// effect and may still be sent.
std::optional<WriteOutcome> judge(const Call &call, const StoredObject &current)
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
        , m_waits(counters.counter("fescuespring_store_budget_waits_total"))
        , m_refused(counters.counter("fescuespring_store_queue_refused_total"))
        , m_budget(options.callsPerSecond, options.burst)
        , m_random(options.randomSeed)
    {}

    void submit(CallPointer call, Instant now);
    void tick(Instant now);
    void unwatch(const std::string &key);
    void raiseFloor(const std::string &key, ObjectVersion version);
    bool isReachable() const
    {
        return m_isReachable;
    }

private:
    void pump();
    void expire();
    void send(const CallPointer &call);
    void sendRead(const CallPointer &call, milliseconds timeout);
    void sendWrite(const CallPointer &call, milliseconds timeout);
    void sendWatch(const CallPointer &call);
    milliseconds timeoutOf(const Call &call) const;

    void takeObject(const CallPointer &call, const Result<StoredObject> &result);
    void takeWatch(const CallPointer &call, const Result<StoredObject> &result);
    void takeWrite(const CallPointer &call, const Result<WriteAnswer> &result);
    void takeReadBack(const CallPointer &call, const StoredObject &current);
    template <typename Done, typename T>
    void takeValue(const CallPointer &call, const Done &done, const Result<T> &result);

    void retry(const CallPointer &call, const Error &error);
    void queue(const CallPointer &call);
    void fail(const Call &call, const Error &error);
    bool isStale(const StoredObject &object);
    template <typename T>
    void note(const Result<T> &result);
    void count(const char *outcome);

    // Wraps a handler into a callback that does nothing once the client is gone.
    template <typename T, typename Handler>
    std::function<void(const Result<T> &)> guarded(Handler handler)
    {
        return [weak = weak_from_this(), handler](const Result<T> &result) {
            if (const std::shared_ptr<Data> self = weak.lock()) {
                self->note(result);
                handler(*self, result);
            }
        };
    }

    ObjectStore &m_store;
    StoreClientOptions m_options;
    Counters &m_counters;
    Counter &m_readBacks;
    Counter &m_waits;
    Counter &m_refused;
    detail::Budget m_budget;
    std::mt19937_64 m_random;
    Instant m_now;
    std::deque<CallPointer> m_waiting;
    std::vector<CallPointer> m_overflow;
    std::map<std::string, CallPointer> m_watches;
    std::map<std::string, ObjectVersion> m_floors;
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
        m_overflow.push_back(std::move(call));
        return;
    }
    queue(call);
    pump();
}

void StoreClient::Data::tick(Instant now)
{
    m_now = std::max(m_now, now);
    const std::vector<CallPointer> refused = std::exchange(m_overflow, {});
    for (const CallPointer &call : refused)
        fail(*call, {ErrorCode::Unavailable, "too many calls wait for the store"});
    expire();
    pump();
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

// Sends what is due, in order, as far as the budget goes.
void StoreClient::Data::pump()
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
        if (!m_budget.take(m_now)) {
            m_waits.add();
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
    const auto left = std::chrono::duration_cast<milliseconds>(call.deadline - m_now);
    return std::clamp(left, milliseconds(1), m_options.callTimeout);
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
                         self.takeValue(call, call->listDone, result);
                     }));
        break;
    case CallKind::Vms:
        m_store.vms(timeout,
                    guarded<std::vector<PlatformVm>>([call](Data &self, const auto &result) {
                        self.takeValue(call, call->vmsDone, result);
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
                     self.takeObject(call, result);
                 }));
}

void StoreClient::Data::sendWrite(const CallPointer &call, milliseconds timeout)
{
    m_store.write(call->write, timeout,
                  guarded<WriteAnswer>([call](Data &self, const auto &result) {
                      self.takeWrite(call, result);
                  }));
}

void StoreClient::Data::sendWatch(const CallPointer &call)
{
    // What other VMs have told of need not come from the store again.
    call->after = newerOf(call->after, m_floors[call->key]);
    m_store.watch(call->key, call->after, m_options.watchWait,
                  guarded<StoredObject>([call](Data &self, const auto &result) {
                      self.takeWatch(call, result);
                  }));
}

template <typename Done, typename T>
void StoreClient::Data::takeValue(const CallPointer &call, const Done &done,
                                  const Result<T> &result)
{
    if (!result && canRetry(result.error().code)) {
        retry(call, result.error());
        return;
    }
    done(result);
}

void StoreClient::Data::takeObject(const CallPointer &call, const Result<StoredObject> &result)
{
    if (result && isStale(result.value())) {
        retry(call, {ErrorCode::Unavailable, "the store answered with an older version"});
        return;
    }
    if (call->kind == CallKind::Read) {
        takeValue(call, call->readDone, result);
        return;
    }
    if (result)
        takeReadBack(call, result.value());
    else
        retry(call, result.error());
}

void StoreClient::Data::takeWrite(const CallPointer &call, const Result<WriteAnswer> &result)
{
    if (result && result.value().written) {
        raiseFloor(call->key, result.value().version);
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

void StoreClient::Data::takeReadBack(const CallPointer &call, const StoredObject &current)
{
    const std::optional<WriteOutcome> outcome = judge(*call, current);
    if (outcome) {
        if (call->isAmbiguous)
            m_counters.counter("fescuespring_store_ambiguous_total", "outcome", toString(*outcome))
                    .add();
        call->writeDone({.outcome = *outcome, .current = current});
        return;
    }
    // Not there yet. If the lost attempt is still on its way, only one of the two can take effect.
    call->kind = CallKind::Write;
    queue(call);
    pump();
}

void StoreClient::Data::takeWatch(const CallPointer &call, const Result<StoredObject> &result)
{
    if (call->isCancelled)
        return;
    if (!result) {
        retry(call, result.error());
        return;
    }
    if (isStale(result.value())) {
        // The store may lag behind what other VMs have seen; give it time.
        retry(call, {ErrorCode::Unavailable, "the store answered with an older version"});
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
    const int doublings = std::min(call->failures, mostDoublings);
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
        // A conflict whose object could not be read is one all the same.
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

// Counts and refuses an object older than one known; else remembers its version.
bool StoreClient::Data::isStale(const StoredObject &object)
{
    ObjectVersion &floor = m_floors[object.key];
    if (object.version.value() < floor.value()) {
        count("stale");
        return true;
    }
    floor = object.version;
    return false;
}

template <typename T>
void StoreClient::Data::note(const Result<T> &result)
{
    m_isReachable = result.has_value();
    count(result ? "answered" : toString(result.error().code));
}

void StoreClient::Data::count(const char *outcome)
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

void StoreClient::Data::raiseFloor(const std::string &key, ObjectVersion version)
{
    ObjectVersion &floor = m_floors[key];
    floor = newerOf(floor, version);
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
    m_data->raiseFloor(write.key, write.ifVersion);
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

void StoreClient::raiseFloor(const std::string &key, ObjectVersion version)
{
    m_data->raiseFloor(key, version);
}

bool StoreClient::isReachable() const
{
    return m_data->isReachable();
}

} // namespace fescuespring
