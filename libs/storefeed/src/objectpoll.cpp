#include "storefeed/objectpoll.h"

#include <algorithm>
#include <utility>

namespace fescuespring {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds readTimeout{1000};

// Until the next read after one that failed, and until it is asked again whether a read is needed.
constexpr Duration shortInterval = milliseconds(200);

} // namespace

struct ObjectPoll::Data : std::enable_shared_from_this<ObjectPoll::Data>
{
    Data(ObjectStore &objectStore, Options pollOptions)
        : store(objectStore)
        , options(std::move(pollOptions))
    {}

    void read()
    {
        if (options.isNeeded && !options.isNeeded()) {
            readAfter(shortInterval);
            return;
        }
        const Instant askedAt = options.timers.now();
        store.read(options.key, readTimeout,
                   [weak = weak_from_this(), askedAt, run = run](const Result<StoredObject> &got) {
                       const auto self = weak.lock();
                       if (self && self->run == run)
                           self->received(got, askedAt);
                   });
    }

    void received(const Result<StoredObject> &got, Instant askedAt)
    {
        readAfter(got ? options.interval : std::min(options.interval, shortInterval));
        if (got)
            options.onRead(got.value(), askedAt);
    }

    void readAfter(Duration wait)
    {
        options.timers.after(wait, [weak = weak_from_this(), run = run] {
            const auto self = weak.lock();
            if (self && self->run == run)
                self->read();
        });
    }

    ObjectStore &store;
    Options options;

    // Distinguishes answers to the current poll from those to a stopped one; 0 while stopped.
    std::uint64_t run = 0;
    std::uint64_t lastRun = 0;
};

ObjectPoll::ObjectPoll(ObjectStore &store, Options options)
    : m_data(std::make_shared<Data>(store, std::move(options)))
{}

ObjectPoll::~ObjectPoll() = default;

void ObjectPoll::start()
{
    m_data->run = ++m_data->lastRun;
    m_data->read();
}

void ObjectPoll::stop()
{
    m_data->run = 0;
}

} // namespace fescuespring
