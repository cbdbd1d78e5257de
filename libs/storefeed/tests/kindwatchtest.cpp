#include "storefeed/kindwatch.h"
#include "store/objectversion.h"
#include "storefeed/kindpoll.h"
#include "support/virtualtimers.h"

#include <cppunit/extensions/HelperMacros.h>
#include <deque>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

StoredObject object(const std::string &key, std::uint64_t version)
{
    return {key, ObjectVersion(version), "{}"};
}

// Holds requests until the test answers them.
class ManualStore : public KindSource
{
public:
    struct Listing
    {
        ReadFreshness freshness;
        ListDone done;
    };
    struct Watching
    {
        ObjectVersion after;
        ChangesDone done;
    };

    void listKind(const std::string &, ReadFreshness freshness, std::chrono::milliseconds,
                  ListDone done) override
    {
        listings.push_back({freshness, std::move(done)});
    }

    void watchKind(const std::string &, ObjectVersion after, std::chrono::milliseconds,
                   ChangesDone done) override
    {
        watchings.push_back({after, std::move(done)});
    }

    void answerList(const Result<KindList> &list)
    {
        const Listing listing = std::move(listings.front());
        listings.pop_front();
        listing.done(list);
    }

    void answerWatch(const Result<KindChanges> &changes)
    {
        const Watching watching = std::move(watchings.front());
        watchings.pop_front();
        watching.done(changes);
    }

    std::deque<Listing> listings;
    std::deque<Watching> watchings;
};

struct Fixture
{
    VirtualTimers timers;
    Log log = std::move(Log::open({.level = LogLevel::Off}).value());
    ManualStore store;
    StoreMirror mirror;
    KindWatch watch{store, {.timers = timers, .log = log, .kind = "servers", .mirror = mirror}};
    KindPoll poll{store, {.timers = timers, .log = log, .kind = "vms", .mirror = mirror}};
};

const Error unavailable{ErrorCode::Unavailable, "busy"};

} // namespace

class KindWatchTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(KindWatchTest);
    CPPUNIT_TEST(watchContinuesFromTheListedVersion);
    CPPUNIT_TEST(burstOfChangesNeedsFewRequests);
    CPPUNIT_TEST(missingHistoryLeadsToANewList);
    CPPUNIT_TEST(unreadableChangesLeadToANewList);
    CPPUNIT_TEST(changesArriveWhileWatchesFail);
    CPPUNIT_TEST(failuresAreRetriedWithBackoff);
    CPPUNIT_TEST(stoppedWatchIgnoresAnswers);
    CPPUNIT_TEST(restartedWatchContinuesFromItsVersion);
    CPPUNIT_TEST(listOfARestoredStoreReplacesNewerNumbers);
    CPPUNIT_TEST_SUITE_END();

public:
    void watchContinuesFromTheListedVersion()
    {
        Fixture fixture;
        fixture.watch.start();
        fixture.store.answerList(KindList{{object("servers/a", 3)}, ObjectVersion(7)});
        CPPUNIT_ASSERT(fixture.store.watchings.at(0).after == ObjectVersion(7));
        fixture.store.answerWatch(
                KindChanges{{{object("servers/b", 9), false}, {object("servers/a", 3), true}},
                            ObjectVersion(10)});
        fixture.timers.advance(100ms);
        CPPUNIT_ASSERT(fixture.store.watchings.at(0).after == ObjectVersion(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.mirror.objects("servers").size());
        CPPUNIT_ASSERT(fixture.mirror.version("servers") == ObjectVersion(10));
    }

    // Load: thousands of databases register within seconds.
    void burstOfChangesNeedsFewRequests()
    {
        Fixture fixture;
        fixture.watch.start();
        fixture.store.answerList(KindList{{}, ObjectVersion(1)});
        int requests = 0;
        std::uint64_t version = 1;
        const Instant end = fixture.timers.now() + 2s;
        while (fixture.timers.now() < end) {
            fixture.timers.advance(2ms);
            ++version;
            if (fixture.store.watchings.empty())
                continue;
            ++requests;
            const StoredObject changed = object("servers/" + std::to_string(version), version);
            fixture.store.answerWatch(KindChanges{{{changed, false}}, ObjectVersion(version)});
        }
        CPPUNIT_ASSERT(requests >= 30 && requests <= 41);
    }

    void missingHistoryLeadsToANewList()
    {
        Fixture fixture;
        fixture.watch.start();
        fixture.store.answerList(KindList{{object("servers/a", 3)}, ObjectVersion(7)});
        fixture.store.answerWatch(Error{ErrorCode::NotFound, "history is gone"});
        fixture.store.answerList(KindList{{object("servers/c", 30)}, ObjectVersion(40)});
        CPPUNIT_ASSERT_EQUAL(std::string("servers/c"), fixture.mirror.objects("servers").at(0).key);
        CPPUNIT_ASSERT(fixture.store.watchings.at(0).after == ObjectVersion(40));
    }

    // Guards against a watch that is repeated although the same answer cannot be read again.
    void unreadableChangesLeadToANewList()
    {
        Fixture fixture;
        fixture.watch.start();
        fixture.store.answerList(KindList{{object("servers/a", 3)}, ObjectVersion(7)});
        fixture.store.answerWatch(Error{ErrorCode::Malformed, "not JSON"});
        fixture.timers.advance(100ms);
        CPPUNIT_ASSERT(fixture.store.watchings.empty());
        fixture.store.answerList(KindList{{object("servers/a", 8)}, ObjectVersion(9)});
        CPPUNIT_ASSERT(fixture.mirror.find("servers", "servers/a")->version == ObjectVersion(8));
        CPPUNIT_ASSERT(fixture.store.watchings.at(0).after == ObjectVersion(9));
    }

    // Guards against a configuration that never comes into force while the store refuses watches
    // and answers all other calls, so that nothing else shows that this VM is behind.
    void changesArriveWhileWatchesFail()
    {
        Fixture fixture;
        fixture.watch.start();
        fixture.store.answerList(KindList{{object("servers/a", 3)}, ObjectVersion(7)});
        std::uint64_t version = 7;
        int calls = 0;
        const Instant end = fixture.timers.now() + 6s;
        while (fixture.timers.now() < end) {
            if (!fixture.store.watchings.empty()) {
                ++calls;
                fixture.store.answerWatch(Error{ErrorCode::Refused, "too many calls"});
            }
            if (!fixture.store.listings.empty()) {
                ++calls;
                ++version;
                fixture.store.answerList(
                        KindList{{object("servers/a", version)}, ObjectVersion(version)});
            }
            fixture.timers.advance(10ms);
        }
        // A list at least each 1.2 s, two backoffs, and no more calls than with failing lists.
        CPPUNIT_ASSERT(version >= 7 + 5);
        CPPUNIT_ASSERT(calls <= 24 + static_cast<int>(version - 7));
    }

    void failuresAreRetriedWithBackoff()
    {
        Fixture fixture;
        fixture.watch.start();
        int tries = 0;
        const Instant end = fixture.timers.now() + 6s;
        while (fixture.timers.now() < end) {
            if (!fixture.store.listings.empty()) {
                fixture.store.answerList(unavailable);
                ++tries;
            }
            fixture.timers.advance(10ms);
        }
        // At most 600 ms apart and, once the backoff has grown, at least 300 ms.
        CPPUNIT_ASSERT(tries >= 10 && tries <= 24);
    }

    void stoppedWatchIgnoresAnswers()
    {
        Fixture fixture;
        fixture.watch.start();
        fixture.watch.stop();
        fixture.store.answerList(KindList{{object("servers/a", 3)}, ObjectVersion(7)});
        CPPUNIT_ASSERT(!fixture.mirror.isKnown("servers"));
        CPPUNIT_ASSERT(fixture.store.watchings.empty());
    }

    void restartedWatchContinuesFromItsVersion()
    {
        Fixture fixture;
        fixture.watch.start();
        fixture.store.answerList(KindList{{}, ObjectVersion(7)});
        fixture.watch.stop();
        fixture.watch.start();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.store.watchings.size());
        CPPUNIT_ASSERT(fixture.store.watchings.at(1).after == ObjectVersion(7));
        CPPUNIT_ASSERT(fixture.store.listings.empty());
    }

    // Guards against a restored store whose objects are taken for older ones, as it gives out
    // numbers again.
    void listOfARestoredStoreReplacesNewerNumbers()
    {
        Fixture fixture;
        const auto version = [](std::uint64_t epoch, std::uint64_t number) {
            return makeObjectVersion(StoreEpoch(epoch), number);
        };
        fixture.watch.start();
        fixture.store.answerList(KindList{{{"servers/a", version(1, 30), "{\"v\":2}"},
                                           {"servers/lost", version(1, 31), "{}"}},
                                          version(1, 32)});
        fixture.store.answerWatch(Error{ErrorCode::NotFound, "restored"});
        fixture.store.answerList(
                KindList{{{"servers/a", version(2, 7), "{\"v\":1}"}}, version(2, 25)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.mirror.objects("servers").size());
        CPPUNIT_ASSERT_EQUAL(std::string("{\"v\":1}"),
                             fixture.mirror.find("servers", "servers/a")->value);
        fixture.store.answerWatch(
                KindChanges{{{{"servers/a", version(2, 26), "{\"v\":3}"}, false}}, version(2, 26)});
        CPPUNIT_ASSERT_EQUAL(std::string("{\"v\":3}"),
                             fixture.mirror.find("servers", "servers/a")->value);
        // An answer that was sent before the restore arrives late.
        fixture.mirror.apply("servers", {{"servers/a", version(1, 33), "{}"}, false});
        CPPUNIT_ASSERT(fixture.mirror.find("servers", "servers/a")->version == version(2, 26));
    }
};

class KindPollTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(KindPollTest);
    CPPUNIT_TEST(currentListsAtFirstThenCheaperOnes);
    CPPUNIT_TEST(olderListIsIgnored);
    CPPUNIT_TEST(failedListIsRetried);
    CPPUNIT_TEST(listsAreCurrentAgainAfterARestore);
    CPPUNIT_TEST_SUITE_END();

public:
    void currentListsAtFirstThenCheaperOnes()
    {
        Fixture fixture;
        fixture.poll.start();
        int fresh = 0;
        int cheap = 0;
        const Instant end = fixture.timers.now() + 10s;
        while (fixture.timers.now() < end) {
            if (!fixture.store.listings.empty()) {
                const bool isFresh =
                        fixture.store.listings.front().freshness == ReadFreshness::Current;
                (isFresh ? fresh : cheap) += 1;
                fixture.store.answerList(KindList{{}, ObjectVersion(7)});
            }
            fixture.timers.advance(10ms);
        }
        CPPUNIT_ASSERT(fresh >= 10 && fresh <= 13);
        CPPUNIT_ASSERT(cheap >= 3 && cheap <= 4);
    }

    void olderListIsIgnored()
    {
        Fixture fixture;
        fixture.poll.start();
        fixture.store.answerList(KindList{{object("vms/a", 5)}, ObjectVersion(7)});
        fixture.timers.advance(200ms);
        fixture.store.answerList(KindList{{}, ObjectVersion(6)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.mirror.objects("vms").size());
    }

    void failedListIsRetried()
    {
        Fixture fixture;
        fixture.poll.start();
        fixture.store.answerList(unavailable);
        CPPUNIT_ASSERT(!fixture.mirror.isKnown("vms"));
        fixture.timers.advance(2s);
        fixture.store.answerList(KindList{{}, ObjectVersion(7)});
        CPPUNIT_ASSERT(fixture.mirror.isKnown("vms"));
    }

    // Guards against a list from before a restore that is taken for one of the restored store.
    void listsAreCurrentAgainAfterARestore()
    {
        Fixture fixture;
        fixture.poll.start();
        for (Instant end = fixture.timers.now() + 4s; fixture.timers.now() < end;) {
            if (!fixture.store.listings.empty())
                fixture.store.answerList(KindList{{}, makeObjectVersion(StoreEpoch(1), 7)});
            fixture.timers.advance(10ms);
        }
        CPPUNIT_ASSERT(fixture.store.listings.empty());
        fixture.timers.advance(2s);
        CPPUNIT_ASSERT(fixture.store.listings.at(0).freshness == ReadFreshness::MayBeOld);
        fixture.store.answerList(KindList{{}, makeObjectVersion(StoreEpoch(2), 5)});
        fixture.timers.advance(200ms);
        CPPUNIT_ASSERT(fixture.store.listings.at(0).freshness == ReadFreshness::Current);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KindWatchTest);
CPPUNIT_TEST_SUITE_REGISTRATION(KindPollTest);
