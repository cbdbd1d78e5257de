#include "storefeed/kindpoll.h"

#include "store/objectversion.h"

#include <utility>

namespace fescuespring {

namespace {

constexpr std::chrono::milliseconds listTimeout{1500};

} // namespace

struct KindPoll::Data : std::enable_shared_from_this<KindPoll::Data>
{
    Data(KindSource &kindSource, Options pollOptions)
        : store(kindSource)
        , options(std::move(pollOptions))
    {}

    bool isFresh() const
    {
        return options.timers.now() - startedAt < options.freshTime;
    }

    void list()
    {
        store.listKind(options.kind, isFresh() ? ReadFreshness::Current : ReadFreshness::MayBeOld,
                       listTimeout,
                       [weak = weak_from_this(), run = run](const Result<KindList> &all) {
                           const auto self = weak.lock();
                           if (self && self->run == run)
                               self->listed(all);
                       });
    }

    void listed(const Result<KindList> &all)
    {
        if (all) {
            logUnreadable(all.value().unreadable);
            // Lists that may be old may still be from before a restore of the store.
            if (epochOf(all.value().storeVersion) > epochOf(version))
                startedAt = options.timers.now();
            // Ignores a list that is older than one already applied.
            if (all.value().storeVersion >= version)
                options.mirror.replaceAll(options.kind, all.value().objects,
                                          all.value().storeVersion);
            version = std::max(version, all.value().storeVersion);
        } else if (!std::exchange(isLost, true)) {
            options.log.warning("poll-lost",
                                {{"kind", options.kind}, {"error", all.error().message}});
        }
        if (all && std::exchange(isLost, false))
            options.log.info("poll-regained", {{"kind", options.kind}});
        options.timers.after(isFresh() ? options.firstInterval : options.interval,
                             [weak = weak_from_this(), run = run] {
                                 const auto self = weak.lock();
                                 if (self && self->run == run)
                                     self->list();
                             });
    }

    // The lists repeat what cannot be read, so only changes of the count are logged.
    void logUnreadable(std::size_t count)
    {
        if (std::exchange(unreadable, count) != count && count > 0)
            options.log.warning("objects-unreadable", {{"kind", options.kind}, {"count", count}});
    }

    KindSource &store;
    Options options;
    Instant startedAt;
    ObjectVersion version;
    bool isLost = false;

    // Objects of the last list that could not be read.
    std::size_t unreadable = 0;

    // Distinguishes answers to the current poll from those to a stopped one; 0 while stopped.
    std::uint64_t run = 0;
    std::uint64_t lastRun = 0;
};

KindPoll::KindPoll(KindSource &store, Options options)
    : m_data(std::make_shared<Data>(store, std::move(options)))
{}

KindPoll::~KindPoll() = default;

void KindPoll::start()
{
    m_data->run = ++m_data->lastRun;
    m_data->startedAt = m_data->options.timers.now();
    m_data->list();
}

void KindPoll::stop()
{
    m_data->run = 0;
}

} // namespace fescuespring
