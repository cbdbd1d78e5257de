#include "storefeed/kindwatch.h"

#include <algorithm>
#include <random>
#include <utility>

namespace fescuespring {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds listTimeout{1500};

constexpr milliseconds firstBackoff{60};
constexpr milliseconds maximumBackoff{600};

// Delay of the next request after changes, so that a burst of changes needs few requests.
constexpr milliseconds changePause{50};

} // namespace

struct KindWatch::Data : std::enable_shared_from_this<KindWatch::Data>
{
    enum class Step {
        List,
        Watch,
    };

    Data(KindSource &kindSource, Options watchOptions)
        : store(kindSource)
        , options(std::move(watchOptions))
        , random(options.randomSeed)
    {}

    void list()
    {
        store.listKind(options.kind, ReadFreshness::Current, listTimeout,
                       [weak = weak_from_this(), run = run](const Result<KindList> &all) {
                           const auto self = weak.lock();
                           if (self && self->run == run)
                               self->listed(all);
                       });
    }

    void listed(const Result<KindList> &all)
    {
        if (!all) {
            retry(all.error(), Step::List);
            return;
        }
        if (!isWatchFailing)
            recovered();
        logList(all.value());
        logUnreadable(all.value().unreadable);
        version = all.value().storeVersion;
        options.mirror.replaceAll(options.kind, all.value().objects, version);
        watch();
    }

    // Objects of a list that are older than those held are not applied.
    void logList(const KindList &list) const
    {
        const auto older = std::ranges::count_if(list.objects, [this](const StoredObject &object) {
            const StoredObject *held = options.mirror.find(options.kind, object.key);
            return held && held->version > object.version;
        });
        options.log.info("kind-listed", {{"kind", options.kind},
                                         {"version", list.storeVersion},
                                         {"held", options.mirror.version(options.kind)},
                                         {"objects", list.objects.size()},
                                         {"older", older}});
    }

    void logUnreadable(std::size_t count) const
    {
        if (count > 0)
            options.log.warning("objects-unreadable", {{"kind", options.kind}, {"count", count}});
    }

    void watch()
    {
        store.watchKind(options.kind, version, options.wait,
                        [weak = weak_from_this(), run = run](const Result<KindChanges> &events) {
                            const auto self = weak.lock();
                            if (self && self->run == run)
                                self->watched(events);
                        });
    }

    void watched(const Result<KindChanges> &events)
    {
        if (!events && events.error().code == ErrorCode::NotFound) {
            options.log.info("watch-history-gone", {{"kind", options.kind}});
            list();
            return;
        }
        if (!events) {
            isWatchFailing = true;
            retry(events.error(), Step::Watch);
            return;
        }
        isWatchFailing = false;
        recovered();
        logUnreadable(events.value().unreadable);
        version = std::max(version, events.value().storeVersion);
        for (const StoreChange &change : events.value().changes)
            options.mirror.apply(options.kind, change);
        options.mirror.advanceVersion(options.kind, version);
        if (events.value().changes.empty())
            watch();
        else
            scheduleStep(changePause, Step::Watch);
    }

    // A watch that fails is repeated once, then the kind is listed: so changes arrive while only
    // watches fail, and although a change cannot be read.
    void retry(const Error &error, Step failed)
    {
        const bool isFirst = backoff == milliseconds(0);
        if (isFirst) {
            options.log.warning("watch-lost", {{"kind", options.kind}, {"error", error.message}});
            backoff = firstBackoff;
        }
        const bool isUnreadable = error.code == ErrorCode::Malformed;
        const bool useWatch =
                failed == Step::Watch ? isFirst && !isUnreadable : version != ObjectVersion();
        using Count = Duration::rep;
        const Count longest = Duration(backoff).count();
        const Duration wait(std::uniform_int_distribution<Count>(longest / 2, longest)(random));
        backoff = std::min(backoff * 2, maximumBackoff);
        scheduleStep(wait, useWatch ? Step::Watch : Step::List);
    }

    void scheduleStep(Duration wait, Step step)
    {
        options.timers.after(wait, [weak = weak_from_this(), step, run = run] {
            const auto self = weak.lock();
            if (!self || self->run != run)
                return;
            if (step == Step::List)
                self->list();
            else
                self->watch();
        });
    }

    void recovered()
    {
        if (std::exchange(backoff, milliseconds(0)) != milliseconds(0))
            options.log.info("watch-regained", {{"kind", options.kind}});
    }

    KindSource &store;
    Options options;
    std::mt19937_64 random;
    ObjectVersion version;

    // 0 unless a request has failed since the last successful watch.
    milliseconds backoff{0};
    bool isWatchFailing = false;

    // Distinguishes answers to the current watch from those to a stopped one; 0 while stopped.
    std::uint64_t run = 0;
    std::uint64_t lastRun = 0;
};

KindWatch::KindWatch(KindSource &store, Options options)
    : m_data(std::make_shared<Data>(store, std::move(options)))
{}

KindWatch::~KindWatch() = default;

void KindWatch::start()
{
    m_data->run = ++m_data->lastRun;
    // Changes that arrived from another source in the meantime are repeated, without effect. If the
    // store no longer has the history, the kind is listed.
    if (m_data->version != ObjectVersion())
        m_data->watch();
    else
        m_data->list();
}

void KindWatch::stop()
{
    m_data->run = 0;
}

} // namespace fescuespring
