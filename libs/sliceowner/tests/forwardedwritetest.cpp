#include "sliceowner/sliceowner.h"

#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

const GroupId group("herd");
const Term firstTerm(1);
const Term secondTerm(2);
constexpr auto deadline = 3000ms;

// The databases of the group by port number, as their management ports report them.
using Statuses = std::map<std::uint16_t, std::optional<DatabaseStatus>>;

DatabaseStatus status(const std::string &database, Role role, Term term)
{
    const LogPoint point{.term = term, .position = LogPosition(1)};
    return {.database = DatabaseId(database),
            .group = group,
            .role = role,
            .term = term,
            .received = point,
            .applied = point,
            .history = {{.term = term, .start = LogPosition(1)}}};
}

// Answers status calls from `statuses`; statements are never needed.
class StatusPort : public DatabasePort
{
public:
    StatusPort(EventLoop &loop, const Statuses &statuses, std::uint16_t number)
        : m_loop(loop)
        , m_statuses(statuses)
        , m_number(number)
    {}

    void status(std::chrono::milliseconds, StatusCallback callback) override
    {
        m_loop.post([this, callback] {
            const std::optional<DatabaseStatus> &current = m_statuses.at(m_number);
            if (current)
                callback(*current);
            else
                callback(Error{ErrorCode::Unreachable, "gone"});
        });
    }
    void fence(const FenceCall &, std::chrono::milliseconds, StatusCallback) override
    {}
    void promote(const PromoteCall &, std::chrono::milliseconds, StatusCallback) override
    {}
    void follow(const FollowCall &, std::chrono::milliseconds, StatusCallback) override
    {}
    std::unique_ptr<DatabaseConnection> connect(std::function<void()>) override
    {
        return std::make_unique<SilentConnection>();
    }

private:
    class SilentConnection : public DatabaseConnection
    {
    public:
        void open(std::chrono::milliseconds, StatementCallback) override
        {}
        void call(const StatementCall &, std::chrono::milliseconds, StatementCallback) override
        {}
    };

    EventLoop &m_loop;
    const Statuses &m_statuses;
    std::uint16_t m_number;
};

// The owner of the group's slice in one of three data centres. Database dN is in data centre N and
// has port N.
struct Owner
{
    explicit Owner(const std::string &dataCentre)
    {
        SliceHooks hooks{.databasePorts =
                                 [this](const Endpoint &endpoint) {
                                     return std::make_unique<StatusPort>(loop, statuses,
                                                                         endpoint.port);
                                 },
                         .forward =
                                 [this](const DataCentreId &to, OwnerRequest request) {
                                     forwardedTo.push_back(to);
                                     forwarded(std::move(request));
                                 },
                         .random =
                                 [] {
                                     return std::uint64_t{0};
                                 }};
        slice = std::make_unique<SliceOwner>(
                loop, counters,
                SliceOwnerOptions{.vm = VmId("vm"),
                                  .dataCentre = DataCentreId(dataCentre),
                                  .group = group,
                                  .probeInterval = 20ms,
                                  .mayPromote = false},
                std::move(hooks));
        std::vector<SliceDatabase> databases;
        for (std::uint16_t number = 1; number <= 3; ++number) {
            const std::string name = std::to_string(number);
            databases.push_back({.site = {.database = DatabaseId("d" + name),
                                          .dataCentre = DataCentreId(name),
                                          .endpoint = {"10.0.0.1", number}}});
        }
        PlanLists lists;
        lists.plans[PlanId("basic")] = {};
        lists.customers[CustomerId("farm")] = PlanId("basic");
        slice->setDatabases(databases);
        slice->setLists(std::make_shared<const PlanLists>(lists));
    }

    // Submits a write that was forwarded `hop` times; runs until it is answered.
    CallerAnswer write(std::uint32_t hop, bool idempotent = false)
    {
        std::optional<CallerAnswer> reply;
        CallerRequest request{.customer = CustomerId("farm"),
                              .group = group,
                              .access = Access::Write,
                              .statements = {"set a 1"},
                              .id = RequestId("write-1"),
                              .idempotent = idempotent,
                              .deadline = deadline};
        loop.after(100ms, [&] {
            slice->submit({.request = request,
                           .hop = hop,
                           .receivedAt = EventLoop::now(),
                           .answer = [&](CallerAnswer answer) {
                               reply = std::move(answer);
                               loop.stop();
                           }});
        });
        loop.run();
        CPPUNIT_ASSERT(reply);
        return *reply;
    }

    EventLoop loop;
    Counters counters;
    Statuses statuses{{1, status("d1", Role::Primary, firstTerm)},
                      {2, status("d2", Role::Replica, firstTerm)},
                      {3, status("d3", Role::Replica, firstTerm)}};
    std::vector<DataCentreId> forwardedTo;
    std::function<void(OwnerRequest)> forwarded;
    std::unique_ptr<SliceOwner> slice;
};

void promoteSecond(Statuses &statuses)
{
    statuses[1] = std::nullopt;
    statuses[2] = status("d2", Role::Primary, secondTerm);
    statuses[3] = status("d3", Role::Replica, secondTerm);
}

} // namespace

// Pattern: a write is forwarded to the data centre of a primary that is replaced meanwhile by one
// in a third data centre.
class ForwardedWriteTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ForwardedWriteTest);
    CPPUNIT_TEST(isHandedBackWhenThePrimaryMovedBeyondTheLastHop);
    CPPUNIT_TEST(isRoutedAgainWhenHandedBack);
    CPPUNIT_TEST(isNotRoutedAgainAfterItMayHaveRun);
    CPPUNIT_TEST(isRoutedAgainWhenIdempotentAndNeverReportedAsNotRun);
    CPPUNIT_TEST_SUITE_END();

public:
    void isHandedBackWhenThePrimaryMovedBeyondTheLastHop()
    {
        Owner owner("1");
        promoteSecond(owner.statuses);
        const Instant since = EventLoop::now();
        const CallerAnswer answer = owner.write(2);
        CPPUNIT_ASSERT(EventLoop::now() - since < deadline / 2);
        CPPUNIT_ASSERT(answer.outcome == Outcome::NotRun);
        CPPUNIT_ASSERT(answer.reason == Reason::PrimaryReplaced);
        CPPUNIT_ASSERT(owner.forwardedTo.empty());
    }

    void isRoutedAgainWhenHandedBack()
    {
        Owner owner("3");
        owner.forwarded = [&](const OwnerRequest &request) {
            CallerAnswer answer{.requestId = request.request.id};
            if (owner.forwardedTo.size() == 1) {
                promoteSecond(owner.statuses);
                answer.outcome = Outcome::NotRun;
                answer.reason = Reason::PrimaryReplaced;
            } else {
                answer.outcome = Outcome::Done;
            }
            request.answer(std::move(answer));
        };
        CPPUNIT_ASSERT(owner.write(0).outcome == Outcome::Done);
        CPPUNIT_ASSERT(owner.forwardedTo.front() == DataCentreId("1"));
        CPPUNIT_ASSERT(owner.forwardedTo.back() == DataCentreId("2"));
    }

    void isNotRoutedAgainAfterItMayHaveRun()
    {
        Owner owner("3");
        owner.forwarded = [&](const OwnerRequest &request) {
            promoteSecond(owner.statuses);
            request.answer({.requestId = request.request.id,
                            .outcome = Outcome::Unknown,
                            .reason = Reason::PrimaryReplaced});
        };
        CPPUNIT_ASSERT(owner.write(0).outcome == Outcome::Unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owner.forwardedTo.size());
    }

    void isRoutedAgainWhenIdempotentAndNeverReportedAsNotRun()
    {
        Owner owner("3");
        owner.forwarded = [&](const OwnerRequest &request) {
            promoteSecond(owner.statuses);
            const bool isFirst = owner.forwardedTo.size() == 1;
            request.answer({.requestId = request.request.id,
                            .outcome = isFirst ? Outcome::Unknown : Outcome::NotRun,
                            .reason = isFirst ? Reason::PrimaryReplaced : Reason::QueueFull});
        };
        CPPUNIT_ASSERT(owner.write(0, true).outcome == Outcome::Unknown);
        CPPUNIT_ASSERT(owner.forwardedTo.size() >= 2);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardedWriteTest);
