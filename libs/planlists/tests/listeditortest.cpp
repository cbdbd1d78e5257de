#include "planlists/listeditor.h"

#include "support/fakestore.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

using namespace fescuespring;
using namespace std::chrono_literals;
using test::FakeStore;

// Edits of two operators at one store.
class ListEditorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ListEditorTest);
    CPPUNIT_TEST(editChangesOnePart);
    CPPUNIT_TEST(editsOfDifferentItemsAreBothMade);
    CPPUNIT_TEST(editsOfOneItemConflict);
    CPPUNIT_TEST(replacingConcurrentlyChangedTextIsAConflict);
    CPPUNIT_TEST(editIsMadeOnceAfterALostReply);
    CPPUNIT_TEST(editIsDetectedAfterALostReplyAndALaterEdit);
    CPPUNIT_TEST(invalidEditIsNotWritten);
    CPPUNIT_TEST(outageEndsInNotDone);
    CPPUNIT_TEST(invalidObjectCanBeReplaced);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_store = std::make_unique<FakeStore>();
        for (Operator &user : m_operators) {
            user.client = std::make_unique<StoreClient>(*m_store, StoreClientOptions(), m_counters);
            user.editor = std::make_unique<ListEditor>(*user.client);
            user.result = {};
        }
        m_now = Instant(1h);
        m_store->put("plans", "customerParts: 4\nplans:\n  basic: {}\n  gold: {weight: 10}\n");
        m_store->put("customers/0", "customers:\n  coop-7: gold\n");
        m_store->put("customers/1", "customers:\n  coop-9: basic\n");
        run(0s);
    }

    void editChangesOnePart()
    {
        CPPUNIT_ASSERT(edit({"e1", MoveCustomer{CustomerId("coop-9"), PlanId("gold")}}).outcome
                       == EditOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_store->version("plans"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_store->version("customers/0"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), m_store->version("customers/1"));
        CPPUNIT_ASSERT_EQUAL(std::string("customers:\n  coop-9: gold\nedits:\n  - e1\n"),
                             m_store->value("customers/1"));
    }

    void editsOfDifferentItemsAreBothMade()
    {
        start(0, {"e1", SetPlanField{PlanId("gold"), "weight", "20"}});
        start(1, {"e2", SetPlanField{PlanId("gold"), "priority", "3"}});
        run(5s);
        CPPUNIT_ASSERT(m_operators[0].result.outcome == EditOutcome::Done);
        CPPUNIT_ASSERT(m_operators[1].result.outcome == EditOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), m_store->version("plans"));
        CPPUNIT_ASSERT(m_store->value("plans").find("weight: 20\n    priority: 3")
                       != std::string::npos);
    }

    void editsOfOneItemConflict()
    {
        start(0, {"e1", SetPlanField{PlanId("gold"), "weight", "20"}});
        start(1, {"e2", SetPlanField{PlanId("gold"), "weight", "30"}});
        run(5s);
        CPPUNIT_ASSERT(m_operators[0].result.outcome == EditOutcome::Done);
        CPPUNIT_ASSERT(m_operators[1].result.outcome == EditOutcome::Conflict);
        CPPUNIT_ASSERT_EQUAL(
                std::string("plans.gold.weight was changed by another operator concurrently\n"
                            "  base:   10\n  theirs: 20\n  yours:  30\n"),
                describe(m_operators[1].result.conflict));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), m_store->version("plans"));
    }

    void replacingConcurrentlyChangedTextIsAConflict()
    {
        const std::string base = m_store->value("plans");
        edit({"e1", SetPlanField{PlanId("gold"), "weight", "20"}});
        const EditResult result =
                edit({"e2", ReplaceObject{"plans", ObjectVersion(1), base,
                                          "plans:\n  basic: {weight: 2}\n  gold: {}\n"}});
        CPPUNIT_ASSERT(result.outcome == EditOutcome::Conflict);
        CPPUNIT_ASSERT_EQUAL(base, result.conflict.base);
        CPPUNIT_ASSERT_EQUAL(m_store->value("plans"), result.conflict.theirs);
    }

    void editIsMadeOnceAfterALostReply()
    {
        m_store->losesAnswers = 1;
        const EditResult result = edit({"e1", AddCustomer{CustomerId("coop-1"), PlanId("gold")}});
        CPPUNIT_ASSERT(result.outcome == EditOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_store->writes);
        m_store->losesWrites = 1;
        CPPUNIT_ASSERT(edit({"e2", RemoveCustomer{CustomerId("coop-1")}}).outcome
                       == EditOutcome::Done);
    }

    void editIsDetectedAfterALostReplyAndALaterEdit()
    {
        m_store->losesAnswers = 1;
        start(0, {"e1", SetPlanField{PlanId("gold"), "weight", "20"}});
        run(200ms);
        start(1, {"e2", SetPlanField{PlanId("gold"), "weight", "30"}});
        run(10s);
        CPPUNIT_ASSERT(m_operators[0].result.outcome == EditOutcome::Done);
        CPPUNIT_ASSERT(m_operators[1].result.outcome == EditOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), m_store->version("plans"));
        CPPUNIT_ASSERT(m_store->value("plans").find("weight: 30") != std::string::npos);
    }

    void invalidEditIsNotWritten()
    {
        const EditResult unknown = edit({"e1", MoveCustomer{CustomerId("coop-7"), PlanId("glod")}});
        CPPUNIT_ASSERT(unknown.outcome == EditOutcome::Refused);
        CPPUNIT_ASSERT(describe(unknown.errors).find("did you mean 'gold'?") != std::string::npos);
        CPPUNIT_ASSERT(edit({"e2", RemovePlan{PlanId("gold")}}).outcome == EditOutcome::Refused);
        CPPUNIT_ASSERT(edit({"e3", SetPlanField{PlanId("gold"), "weight", "0"}}).outcome
                       == EditOutcome::Refused);
        CPPUNIT_ASSERT(edit({"e4", AddCustomer{CustomerId("coop-7"), PlanId("gold")}}).outcome
                       == EditOutcome::Refused);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), m_store->writes);
    }

    void outageEndsInNotDone()
    {
        m_store->isDown = true;
        CPPUNIT_ASSERT(edit({"e1", RemoveCustomer{CustomerId("coop-7")}}).outcome
                       == EditOutcome::NotDone);
        m_store->isDown = false;
        CPPUNIT_ASSERT(edit({"e1", RemoveCustomer{CustomerId("coop-7")}}).outcome
                       == EditOutcome::Done);
    }

    void invalidObjectCanBeReplaced()
    {
        m_store->put("plans", "plans:\n  basic: {}\n  gold: {weight: many}\n");
        const EditResult result =
                edit({"e1", ReplaceObject{"plans", ObjectVersion(2), m_store->value("plans"),
                                          "plans:\n  basic: {}\n  gold: {weight: 9}\n"}});
        CPPUNIT_ASSERT_EQUAL(std::string(), describe(result.errors));
        CPPUNIT_ASSERT(result.outcome == EditOutcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), m_store->version("plans"));
    }

private:
    struct Operator
    {
        std::unique_ptr<StoreClient> client;
        std::unique_ptr<ListEditor> editor;
        EditResult result;
    };

    void run(Duration duration)
    {
        for (const Instant end = m_now + duration; m_now <= end; m_now += 10ms) {
            m_store->run(m_now);
            for (Operator &user : m_operators)
                user.client->tick(m_now);
        }
    }

    void start(std::size_t index, const ListEdit &edit)
    {
        Operator &user = m_operators[index];
        user.editor->edit(edit, m_now, m_now + 9s,
                          [&user](const EditResult &result) { user.result = result; });
    }

    EditResult edit(const ListEdit &edit)
    {
        start(0, edit);
        run(10s);
        return m_operators[0].result;
    }

    Counters m_counters;
    std::unique_ptr<FakeStore> m_store;
    Operator m_operators[2];
    Instant m_now;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ListEditorTest);
