#include "storefeed/kindwatch.h"
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

// A store that keeps questions until the test answers them.
class AskedStore : public KindSource
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

struct World
{
    VirtualTimers timers;
    Log log = std::move(Log::open({.level = LogLevel::Off}).value());
    AskedStore store;
    StoreMirror mirror;
    KindWatch watch{store, {.timers = timers, .log = log, .kind = "servers", .mirror = mirror}};
    KindPoll poll{store, {.timers = timers, .log = log, .kind = "vms", .mirror = mirror}};
};

const Error unavailable{ErrorCode::Unavailable, "busy"};

} // namespace

class KindWatchTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(KindWatchTest);
    CPPUNIT_TEST(watchGoesOnFromTheList);
    CPPUNIT_TEST(burstOfChangesCostsFewQuestions);
    CPPUNIT_TEST(forgottenHistoryIsListedAnew);
    CPPUNIT_TEST(failuresAreTriedAgainWithBackoff);
    CPPUNIT_TEST(stoppedWatchTakesNoAnswer);
    CPPUNIT_TEST(watchThatStartsAgainGoesOnWhereItWas);
    CPPUNIT_TEST_SUITE_END();

public:
    void watchGoesOnFromTheList()
    {
        World world;
        world.watch.start();
        world.store.answerList(KindList{{object("servers/a", 3)}, ObjectVersion(7)});
        CPPUNIT_ASSERT(world.store.watchings.at(0).after == ObjectVersion(7));
        world.store.answerWatch(
                KindChanges{{{object("servers/b", 9), false}, {object("servers/a", 3), true}},
                            ObjectVersion(10)});
        world.timers.advance(100ms);
        CPPUNIT_ASSERT(world.store.watchings.at(0).after == ObjectVersion(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.mirror.objects("servers").size());
        CPPUNIT_ASSERT(world.mirror.version("servers") == ObjectVersion(10));
    }

    // Pattern: thousands of databases register within seconds.
    void burstOfChangesCostsFewQuestions()
    {
        World world;
        world.watch.start();
        world.store.answerList(KindList{{}, ObjectVersion(1)});
        int questions = 0;
        std::uint64_t version = 1;
        const Instant end = world.timers.now() + 2s;
        while (world.timers.now() < end) {
            world.timers.advance(2ms);
            ++version;
            if (world.store.watchings.empty())
                continue;
            ++questions;
            const StoredObject changed = object("servers/" + std::to_string(version), version);
            world.store.answerWatch(KindChanges{{{changed, false}}, ObjectVersion(version)});
        }
        CPPUNIT_ASSERT(questions >= 30 && questions <= 41);
    }

    void forgottenHistoryIsListedAnew()
    {
        World world;
        world.watch.start();
        world.store.answerList(KindList{{object("servers/a", 3)}, ObjectVersion(7)});
        world.store.answerWatch(Error{ErrorCode::NotFound, "history is gone"});
        world.store.answerList(KindList{{object("servers/c", 30)}, ObjectVersion(40)});
        CPPUNIT_ASSERT_EQUAL(std::string("servers/c"), world.mirror.objects("servers").at(0).key);
        CPPUNIT_ASSERT(world.store.watchings.at(0).after == ObjectVersion(40));
    }

    void failuresAreTriedAgainWithBackoff()
    {
        World world;
        world.watch.start();
        int tries = 0;
        const Instant end = world.timers.now() + 6s;
        while (world.timers.now() < end) {
            if (!world.store.listings.empty()) {
                world.store.answerList(unavailable);
                ++tries;
            }
            world.timers.advance(10ms);
        }
        // Never more than 600 ms apart, and soon no more often than every 300 ms.
        CPPUNIT_ASSERT(tries >= 10 && tries <= 24);
    }

    void stoppedWatchTakesNoAnswer()
    {
        World world;
        world.watch.start();
        world.watch.stop();
        world.store.answerList(KindList{{object("servers/a", 3)}, ObjectVersion(7)});
        CPPUNIT_ASSERT(!world.mirror.isKnown("servers"));
        CPPUNIT_ASSERT(world.store.watchings.empty());
    }

    void watchThatStartsAgainGoesOnWhereItWas()
    {
        World world;
        world.watch.start();
        world.store.answerList(KindList{{}, ObjectVersion(7)});
        world.watch.stop();
        world.watch.start();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.store.watchings.size());
        CPPUNIT_ASSERT(world.store.watchings.at(1).after == ObjectVersion(7));
        CPPUNIT_ASSERT(world.store.listings.empty());
    }
};

class KindPollTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(KindPollTest);
    CPPUNIT_TEST(freshListsAtFirstThenCheapOnes);
    CPPUNIT_TEST(olderListTakesNothingBack);
    CPPUNIT_TEST(failedListIsTriedAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    void freshListsAtFirstThenCheapOnes()
    {
        World world;
        world.poll.start();
        int fresh = 0;
        int cheap = 0;
        const Instant end = world.timers.now() + 10s;
        while (world.timers.now() < end) {
            if (!world.store.listings.empty()) {
                const bool isFresh =
                        world.store.listings.front().freshness == ReadFreshness::Current;
                (isFresh ? fresh : cheap) += 1;
                world.store.answerList(KindList{{}, ObjectVersion(7)});
            }
            world.timers.advance(10ms);
        }
        CPPUNIT_ASSERT(fresh >= 10 && fresh <= 13);
        CPPUNIT_ASSERT(cheap >= 3 && cheap <= 4);
    }

    void olderListTakesNothingBack()
    {
        World world;
        world.poll.start();
        world.store.answerList(KindList{{object("vms/a", 5)}, ObjectVersion(7)});
        world.timers.advance(200ms);
        world.store.answerList(KindList{{}, ObjectVersion(6)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.mirror.objects("vms").size());
    }

    void failedListIsTriedAgain()
    {
        World world;
        world.poll.start();
        world.store.answerList(unavailable);
        CPPUNIT_ASSERT(!world.mirror.isKnown("vms"));
        world.timers.advance(2s);
        world.store.answerList(KindList{{}, ObjectVersion(7)});
        CPPUNIT_ASSERT(world.mirror.isKnown("vms"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KindWatchTest);
CPPUNIT_TEST_SUITE_REGISTRATION(KindPollTest);
