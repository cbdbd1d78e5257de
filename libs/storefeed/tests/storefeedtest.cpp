#include "net/looptimers.h"
#include "storefeed/feedfollower.h"
#include "storefeed/feedreader.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

StoredObject object(const std::string &key, std::uint64_t version, const std::string &value = "{}")
{
    return {key, ObjectVersion(version), value};
}

// A reader and a follower on one loop, over loopback.
struct Pair
{
    Pair()
    {
        reader.replaceAll("servers", {object("servers/a", 1), object("servers/b", 2)},
                          ObjectVersion(2));
        auto feed = FeedReader::listen(loop, {"127.0.0.1", 0}, timers, reader,
                                       {.records = [this] { return records ? &*records : nullptr; },
                                        .configuration =
                                                [this] {
                                                    return configuration;
                                                }});
        CPPUNIT_ASSERT(feed);
        server = std::move(feed.value());
    }

    void run(Duration time)
    {
        loop.after(time, [this] { loop.stop(); });
        loop.run();
    }

    EventLoop loop;
    LoopTimers timers{loop};
    StoreMirror reader;
    StoreMirror mirror;
    std::optional<DatedRecords> records;
    std::optional<ConfirmedConfiguration> configuration;
    std::unique_ptr<FeedReader> server;
};

} // namespace

class StoreFeedTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreFeedTest);
    CPPUNIT_TEST(olderVersionsAreIgnored);
    CPPUNIT_TEST(fullListRemovesMissingObjects);
    CPPUNIT_TEST(messagesSurviveARoundTrip);
    CPPUNIT_TEST(longMessagesAreSentCompressed);
    CPPUNIT_TEST(malformedMessagesAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void olderVersionsAreIgnored()
    {
        StoreMirror mirror;
        int changes = 0;
        mirror.listen([&changes](const std::string &, const StoreChange &) { ++changes; });
        mirror.apply("servers", {object("servers/a", 5, "new"), false});
        mirror.apply("servers", {object("servers/a", 4, "old"), false});
        mirror.apply("servers", {object("servers/a", 5, "new"), false});
        CPPUNIT_ASSERT_EQUAL(1, changes);
        mirror.apply("servers", {object("servers/a", 4), true});
        CPPUNIT_ASSERT_EQUAL(1, changes);
        CPPUNIT_ASSERT_EQUAL(std::string("new"), mirror.objects("servers").at(0).value);
    }

    void fullListRemovesMissingObjects()
    {
        StoreMirror mirror;
        std::vector<std::string> removed;
        mirror.listen([&removed](const std::string &, const StoreChange &change) {
            if (change.isRemoved)
                removed.push_back(change.object.key);
        });
        CPPUNIT_ASSERT(!mirror.isKnown("servers"));
        mirror.replaceAll("servers", {object("servers/a", 1), object("servers/b", 2)},
                          ObjectVersion(2));
        mirror.replaceAll("servers", {object("servers/b", 2)}, ObjectVersion(3));
        CPPUNIT_ASSERT(mirror.isKnown("servers"));
        CPPUNIT_ASSERT(removed == std::vector<std::string>{"servers/a"});
    }

    void messagesSurviveARoundTrip()
    {
        const FeedMessage sent{.kind = FeedMessage::Kind::Answer,
                               .number = 12,
                               .age = 345us,
                               .epoch = StoreEpoch(6),
                               .configuration = ConfirmedAge{17, 2s},
                               .objects = {object("fescue-leadership/duty", 9, R"({"a":"\n"})")}};
        const std::string text = encodeFeedMessage(sent);
        CPPUNIT_ASSERT_EQUAL('\n', text.back());
        CPPUNIT_ASSERT_EQUAL(text.size() - 1, text.find('\n'));
        const auto got = decodeFeedMessage(std::string_view(text).substr(0, text.size() - 1));
        CPPUNIT_ASSERT(got);
        CPPUNIT_ASSERT(got.value().kind == sent.kind && got.value().number == sent.number);
        CPPUNIT_ASSERT(got.value().epoch == sent.epoch);
        CPPUNIT_ASSERT(got.value().configuration == sent.configuration);
        CPPUNIT_ASSERT(got.value().age == sent.age && got.value().objects == sent.objects);
    }

    void longMessagesAreSentCompressed()
    {
        FeedMessage sent{.kind = FeedMessage::Kind::All, .objectKind = "servers"};
        for (std::uint64_t i = 0; i < 2000; ++i)
            sent.objects.push_back(object("servers/" + std::to_string(i), i + 1,
                                          R"({"service":"herd","state":"ready"})"));
        const std::string text = packFeedMessage(sent);
        CPPUNIT_ASSERT(text.size() * 5 < encodeFeedMessage(sent).size());
        CPPUNIT_ASSERT_EQUAL(text.size() - 1, text.find('\n'));
        const auto got = decodeFeedMessage(std::string_view(text).substr(0, text.size() - 1));
        CPPUNIT_ASSERT(got && got.value().kind == sent.kind);
        CPPUNIT_ASSERT(got.value().objects == sent.objects);
        CPPUNIT_ASSERT(!decodeFeedMessage(R"({"is":"packed","packed":"AAAA"})"));
    }

    void malformedMessagesAreRejected()
    {
        const std::string text =
                encodeFeedMessage({.kind = FeedMessage::Kind::All,
                                   .objectKind = "servers",
                                   .objects = {object("servers/a", 1), object("servers/b", 2)}});
        std::mt19937 random(7);
        for (int i = 0; i < 5000; ++i) {
            std::string broken = text.substr(0, random() % text.size());
            for (int j = 0; j < 2 && !broken.empty(); ++j)
                broken[random() % broken.size()] = static_cast<char>(random() % 256);
            const auto message = decodeFeedMessage(broken);
            CPPUNIT_ASSERT(!message || message.value().objects.size() <= 2);
        }
        CPPUNIT_ASSERT(!decodeFeedMessage(R"({"is":"answers"})"));
    }
};

// Uses real connections on loopback.
class StoreFeedLoopTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreFeedLoopTest);
    CPPUNIT_TEST(followerReceivesRecordsAndObjects);
    CPPUNIT_TEST(unchangedRecordsAreNotSentAgain);
    CPPUNIT_TEST(followerReceivesOnlyDifferingParts);
    CPPUNIT_TEST(followerAheadOfItsReaderKeepsNewerObjects);
    CPPUNIT_TEST(changesOfOneListAreSentInOneMessage);
    CPPUNIT_TEST(largeObjectIsSentAsAPatch);
    CPPUNIT_TEST(followerThatCannotApplyAPatchReceivesTheObject);
    CPPUNIT_TEST(ageIsCountedFromTheFollowersQuestion);
    CPPUNIT_TEST(ageOfTheConfigurationIsCountedFromTheFollowersQuestion);
    CPPUNIT_TEST(readerWithoutRecordsReportsUnavailable);
    CPPUNIT_TEST(lossOfTheReaderIsReported);
    CPPUNIT_TEST(followerThatSendsGarbageIsDisconnected);
    CPPUNIT_TEST_SUITE_END();

public:
    void followerReceivesRecordsAndObjects()
    {
        Pair pair;
        pair.records = DatedRecords{{object("fescue-leadership/duty", 3)}, pair.timers.now()};
        FeedFollower follower(pair.loop, pair.timers, options(pair));
        std::optional<DatedRecords> records;
        follower.requestRecords(2s, [&](const Result<DatedRecords> &answer) {
            CPPUNIT_ASSERT(answer);
            records = answer.value();
            pair.loop.stop();
        });
        pair.run(3s);
        CPPUNIT_ASSERT(records && records->objects.size() == 1);
        CPPUNIT_ASSERT(pair.mirror.objects("servers") == pair.reader.objects("servers"));
        pair.mirror.listen([&](const std::string &, const StoreChange &change) {
            if (change.isRemoved)
                pair.loop.stop();
        });
        pair.reader.apply("servers", {object("servers/a", 8, "moved"), false});
        pair.reader.apply("servers", {object("servers/b", 2), true});
        pair.run(3s);
        CPPUNIT_ASSERT(pair.mirror.objects("servers") == pair.reader.objects("servers"));
    }

    // Load: hundreds of VMs request hundreds of records several times per second.
    void unchangedRecordsAreNotSentAgain()
    {
        Pair pair;
        const std::string large(20'000, 'x');
        pair.records = DatedRecords{{object("a/1", 3, large)}, pair.timers.now()};
        std::size_t received = 0;
        std::size_t answers = 0;
        const auto stream = TcpStream::connect(
                pair.loop, {.endpoint = pair.server->endpoint()},
                {.onBytes = [&](std::string_view bytes) { received += bytes.size(); },
                 .onClosed =
                         [](const Error &) {
                         }});
        const std::uint64_t digest = digestOf(pair.records->objects);
        for (std::uint64_t i = 1; i <= 10; ++i)
            stream->send(encodeFeedMessage(
                    {.kind = FeedMessage::Kind::Question, .number = i, .digest = digest}));
        pair.run(200ms);
        CPPUNIT_ASSERT(received > 0);
        CPPUNIT_ASSERT(received < large.size());
        FeedFollower follower(pair.loop, pair.timers, options(pair));
        const auto expectRecords = [&](std::uint64_t version) {
            follower.requestRecords(2s, [&, version](const Result<DatedRecords> &answer) {
                CPPUNIT_ASSERT(answer && answer.value().objects.size() == 1);
                CPPUNIT_ASSERT(answer.value().objects[0] == object("a/1", version, large));
                ++answers;
            });
            pair.run(200ms);
        };
        expectRecords(3);
        expectRecords(3);
        pair.records = DatedRecords{{object("a/1", 4, large)}, pair.timers.now()};
        expectRecords(4);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), answers);
    }

    // Load: all VMs start together, read everything from the store, and then follow a few of them.
    void followerReceivesOnlyDifferingParts()
    {
        Pair pair;
        const std::string large(20'000, 'x');
        pair.reader.apply("servers", {object("servers/a", 5, large), false});
        const std::vector<StoredObject> held = pair.reader.objects("servers");
        pair.reader.apply("servers", {object("servers/c", 6, "new"), false});
        std::size_t received = 0;
        const auto stream = TcpStream::connect(
                pair.loop, {.endpoint = pair.server->endpoint()},
                {.onBytes = [&](std::string_view bytes) { received += bytes.size(); },
                 .onClosed =
                         [](const Error &) {
                         }});
        stream->send(encodeFeedMessage({.kind = FeedMessage::Kind::Known,
                                        .parts = partDigests(held, 64),
                                        .objectKind = "servers"})
                     + encodeFeedMessage({.kind = FeedMessage::Kind::Begin}));
        pair.run(200ms);
        CPPUNIT_ASSERT(received > 0);
        CPPUNIT_ASSERT(received < 1000);
        // A follower that holds an object removed in the meantime removes it too.
        pair.mirror.replaceAll("servers", held, ObjectVersion(2));
        pair.reader.apply("servers", {object("servers/b", 7), true});
        const FeedFollower follower(pair.loop, pair.timers, options(pair));
        pair.run(200ms);
        CPPUNIT_ASSERT(pair.mirror.objects("servers") == pair.reader.objects("servers"));
    }

    // The follower has read the store itself, shortly after its reader.
    void followerAheadOfItsReaderKeepsNewerObjects()
    {
        Pair pair;
        pair.mirror.replaceAll(
                "servers",
                {object("servers/a", 1), object("servers/gone", 2), object("servers/new", 9)},
                ObjectVersion(9));
        const FeedFollower follower(pair.loop, pair.timers, options(pair));
        pair.run(200ms);
        std::string keys;
        for (const StoredObject &known : pair.mirror.objects("servers"))
            keys += known.key + ' ';
        CPPUNIT_ASSERT_EQUAL(std::string("servers/a servers/b servers/new "), keys);
    }

    // Load: a list in which hundreds of VMs have renewed their presence records.
    void changesOfOneListAreSentInOneMessage()
    {
        Pair pair;
        std::size_t lines = 0;
        const auto stream = TcpStream::connect(
                pair.loop, {.endpoint = pair.server->endpoint()},
                {.onBytes =
                         [&](std::string_view bytes) { lines += std::ranges::count(bytes, '\n'); },
                 .onClosed =
                         [](const Error &) {
                         }});
        stream->send(encodeFeedMessage({.kind = FeedMessage::Kind::Begin}));
        pair.run(100ms);
        lines = 0;
        std::vector<StoredObject> renewed;
        for (std::uint64_t i = 0; i < 300; ++i)
            renewed.push_back(object("vms/" + std::to_string(i), 10 + i));
        pair.reader.replaceAll("vms", renewed, ObjectVersion(310));
        pair.run(100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lines);
        // Changes that follow each other closely are sent in a few batches.
        const Instant begin = pair.timers.now();
        for (std::uint64_t i = 0; i < 100; ++i) {
            pair.reader.apply("vms", {object("vms/1", 400 + i), false});
            pair.run(1ms);
        }
        pair.run(100ms);
        const auto spaces = static_cast<std::size_t>((pair.timers.now() - begin) / 50ms);
        CPPUNIT_ASSERT(lines >= 3 && lines <= spaces + 2);
    }

    // Load: a configuration of hundreds of KB with dozens of followers has a small change.
    void largeObjectIsSentAsAPatch()
    {
        Pair pair;
        std::mt19937 random(5);
        std::string value;
        for (int i = 0; i < 20'000; ++i)
            value += std::to_string(random());
        pair.reader.apply("configurations", {object("configurations/main", 5, value), false});
        std::size_t received = 0;
        const auto stream = TcpStream::connect(
                pair.loop, {.endpoint = pair.server->endpoint()},
                {.onBytes = [&](std::string_view bytes) { received += bytes.size(); },
                 .onClosed =
                         [](const Error &) {
                         }});
        stream->send(encodeFeedMessage({.kind = FeedMessage::Kind::Begin}));
        const FeedFollower follower(pair.loop, pair.timers, options(pair));
        pair.run(200ms);
        received = 0;
        for (std::uint64_t version = 6; version < 9; ++version) {
            value.replace(random() % value.size(), 1, "changed");
            pair.reader.apply("configurations",
                              {object("configurations/main", version, value), false});
            pair.run(100ms);
            CPPUNIT_ASSERT(pair.mirror.objects("configurations").at(0).value == value);
        }
        CPPUNIT_ASSERT(received > 0);
        CPPUNIT_ASSERT(received < 2000);
    }

    // The follower has read a newer version from the store itself, to which the patch does not
    // apply.
    void followerThatCannotApplyAPatchReceivesTheObject()
    {
        Pair pair;
        const std::string first(10'000, 'a');
        const std::string second(10'000, 'b');
        const std::string third(10'000, 'c');
        pair.reader.apply("configurations", {object("configurations/main", 5, first), false});
        const FeedFollower follower(pair.loop, pair.timers, options(pair));
        pair.run(200ms);
        pair.mirror.apply("configurations", {object("configurations/main", 6, second), false});
        pair.reader.apply("configurations", {object("configurations/main", 7, third), false});
        pair.run(200ms);
        CPPUNIT_ASSERT(pair.mirror.objects("configurations").at(0)
                       == object("configurations/main", 7, third));
    }

    // While an answer is under way, the records become older than the age that it states.
    void ageIsCountedFromTheFollowersQuestion()
    {
        Pair pair;
        const Instant readAt = pair.timers.now() - 500ms;
        pair.records = DatedRecords{{}, readAt};
        FeedFollower follower(pair.loop, pair.timers, options(pair));
        Instant askedAt;
        follower.requestRecords(2s, [&](const Result<DatedRecords> &answer) {
            CPPUNIT_ASSERT(answer);
            askedAt = answer.value().askedAt;
            pair.loop.stop();
        });
        pair.run(3s);
        CPPUNIT_ASSERT(askedAt <= readAt);
        CPPUNIT_ASSERT(askedAt > readAt - 1s);
    }

    // Guards against a configuration that appears newer at a follower than it is, so that a removed
    // key works for longer there. A reader without a confirmation, as one of an earlier version,
    // sends none.
    void ageOfTheConfigurationIsCountedFromTheFollowersQuestion()
    {
        Pair pair;
        const Instant confirmedAt = pair.timers.now() - 700ms;
        pair.records = DatedRecords{{}, pair.timers.now()};
        FeedFollower follower(pair.loop, pair.timers, options(pair));
        std::optional<ConfirmedConfiguration> got;
        const auto request = [&] {
            follower.requestRecords(2s, [&](const Result<DatedRecords> &answer) {
                CPPUNIT_ASSERT(answer);
                got = answer.value().configuration;
                pair.loop.stop();
            });
            pair.run(3s);
        };
        request();
        CPPUNIT_ASSERT(!got);
        pair.configuration = ConfirmedConfiguration{9, confirmedAt};
        request();
        CPPUNIT_ASSERT(got && got->version == 9);
        CPPUNIT_ASSERT(got->confirmedAt <= confirmedAt && got->confirmedAt > confirmedAt - 1s);
    }

    void readerWithoutRecordsReportsUnavailable()
    {
        Pair pair;
        FeedFollower follower(pair.loop, pair.timers, options(pair));
        std::optional<ErrorCode> code;
        follower.requestRecords(2s, [&](const Result<DatedRecords> &answer) {
            code = answer.error().code;
            pair.loop.stop();
        });
        pair.run(3s);
        CPPUNIT_ASSERT(code == ErrorCode::Unavailable);
    }

    void lossOfTheReaderIsReported()
    {
        Pair pair;
        pair.records = DatedRecords{{}, pair.timers.now()};
        bool isLost = false;
        auto followerOptions = options(pair);
        followerOptions.onLost = [&](const Error &) {
            isLost = true;
            pair.loop.stop();
        };
        FeedFollower follower(pair.loop, pair.timers, followerOptions);
        follower.requestRecords(2s, [&](const Result<DatedRecords> &) { pair.server.reset(); });
        pair.run(3s);
        CPPUNIT_ASSERT(isLost);
    }

    // The follower continues to send after it was disconnected.
    void followerThatSendsGarbageIsDisconnected()
    {
        Pair pair;
        bool isClosed = false;
        const auto stream = TcpStream::connect(pair.loop, {.endpoint = pair.server->endpoint()},
                                               {.onBytes = [](std::string_view) {},
                                                .onClosed =
                                                        [&](const Error &) {
                                                            isClosed = true;
                                                            pair.loop.stop();
                                                        }});
        std::string garbage;
        for (int i = 0; i < 20000; ++i)
            garbage += "no message\n";
        stream->send(garbage);
        pair.run(3s);
        CPPUNIT_ASSERT(isClosed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pair.server->followerCount());
    }

private:
    static FeedFollower::Options options(Pair &pair)
    {
        return {.reader = pair.server->endpoint(),
                .mirror = pair.mirror,
                .onWakeUp = [] {},
                .onLost =
                        [](const Error &) {
                        }};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreFeedTest);
CPPUNIT_TEST_SUITE_REGISTRATION(StoreFeedLoopTest);
