#include "httpstore/httpobjectstore.h"
#include "mutation.h"
#include "net/eventloop.h"
#include "net/httpserver.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

using namespace fescuespring;

namespace {

constexpr std::uint32_t seed = 20263;
constexpr int mutations = 300;
constexpr std::size_t deep = 100'000;
constexpr std::chrono::milliseconds timeout{5000};

// A platform that answers each call with the next wrong text.
struct BrokenPlatform
{
    explicit BrokenPlatform(std::string right)
        : sample(std::move(right))
    {
        HttpServerOptions options{.endpoint = {"127.0.0.1", 0}};
        options.handler = [this](HttpConnectionId, const HttpRequest &,
                                 const HttpResponder &respond) {
            respond({.body = nextText()});
        };
        server = std::move(HttpServer::listen(loop, std::move(options))).value();
        store = std::make_unique<HttpObjectStore>(loop, server->endpoint());
    }

    std::string nextText()
    {
        if (++answered == 1)
            return sample;
        return answered == mutations ? mutation.nested(sample, deep) : mutation.mutated(sample);
    }

    // Makes calls one after the other; returns how many were answered with a value.
    int accepted(const std::function<void(BrokenPlatform &, std::function<void(bool)>)> &call)
    {
        int values = 0;
        int left = mutations;
        std::function<void(bool)> next = [&](bool hasValue) {
            values += hasValue ? 1 : 0;
            if (--left == 0)
                loop.stop();
            else
                call(*this, next);
        };
        loop.post([&] { call(*this, next); });
        loop.run();
        return values;
    }

    EventLoop loop;
    std::unique_ptr<HttpServer> server;
    std::unique_ptr<HttpObjectStore> store;
    std::string sample;
    Mutation mutation{seed};
    int answered = 0;
};

template <typename T>
bool checked(const Result<T> &result)
{
    if (!result)
        CPPUNIT_ASSERT(!result.error().message.empty());
    return result.has_value();
}

void assertSomeRefused(int accepted)
{
    CPPUNIT_ASSERT(accepted >= 1);
    CPPUNIT_ASSERT(accepted < mutations);
}

} // namespace

// Every call is answered once, with a value or with an error that says something.
class PlatformFuzzTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformFuzzTest);
    CPPUNIT_TEST(objects);
    CPPUNIT_TEST(listsOfObjects);
    CPPUNIT_TEST(versions);
    CPPUNIT_TEST(listsOfVms);
    CPPUNIT_TEST_SUITE_END();

public:
    void objects()
    {
        BrokenPlatform platform(R"({"key":"plans","version":7,"value":"plans: {}\n"})");
        assertSomeRefused(platform.accepted([](BrokenPlatform &self, const auto &done) {
            self.store->read("plans", timeout, [done](const auto &read) { done(checked(read)); });
        }));
    }

    void listsOfObjects()
    {
        BrokenPlatform platform(
                R"({"objects":[{"key":"customers/0","version":7,"value":"customers: {}\n"}]})");
        assertSomeRefused(platform.accepted([](BrokenPlatform &self, const auto &done) {
            self.store->list("customers/", timeout,
                             [done](const auto &list) { done(checked(list)); });
        }));
    }

    void versions()
    {
        BrokenPlatform platform(R"({"version":8})");
        assertSomeRefused(platform.accepted([](BrokenPlatform &self, const auto &done) {
            self.store->write({.key = "plans", .value = "plans: {}\n", .ifVersion = {}}, timeout,
                              [done](const auto &written) { done(checked(written)); });
        }));
    }

    void listsOfVms()
    {
        BrokenPlatform platform(
                R"({"vms":[{"vm":"vm-1","dataCentre":"andong","kind":"entry","state":"live",)"
                R"("ip":"10.1.0.11","port":8401},{"vm":"db-1","dataCentre":"andong",)"
                R"("kind":"upstream","state":"leaving","ip":"10.1.0.21","port":5600,)"
                R"("group":"herd","database":"herd-1"}]})");
        assertSomeRefused(platform.accepted([](BrokenPlatform &self, const auto &done) {
            self.store->vms(timeout, [done](const auto &vms) { done(checked(vms)); });
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformFuzzTest);
