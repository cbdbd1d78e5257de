#pragma once

#include "checker/historychecker.h"
#include "confirmation/confirmer.h"
#include "databasemodel/database.h"
#include "naive/naiveproxy.h"
#include "promotion/lossdetector.h"
#include "promotion/promoter.h"
#include "requests/requestlife.h"
#include "routing/readrouter.h"
#include "routing/writerouter.h"
#include "session/sessiontoken.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace fescuespring {

enum class Policy {
    Product,
    Naive,
};

// A deliberate defect of the product that the checker must detect.
enum class ProductBreak {
    None,

    // Answers are forwarded without confirmation.
    SkipEvidence,

    // Reads are spread over the replicas regardless of the token.
    IgnoreToken,

    // A write on a lost connection is reported as not run.
    GuessNotRun,

    // Writes do not carry the request id to the database.
    OmitRequestId,
};

struct HistoryOptions
{
    Policy policy = Policy::Product;
    ProductBreak productBreak = ProductBreak::None;
    std::uint64_t seed = 1;
    std::size_t sessions = 20;
    Duration length = std::chrono::seconds(12);
    std::size_t faults = 8;

    // Isolates the first primary from the other databases, but not from the VMs, until the end.
    bool isolatesPrimary = false;
    bool keepsLines = false;
};

struct HistoryResult
{
    std::size_t requests = 0;
    std::size_t done = 0;
    std::size_t reads = 0;
    std::size_t readsByReplicas = 0;
    std::size_t promotions = 0;

    // Total time from sending to answer of all completed writes and of all completed reads.
    Duration writeTime{0};
    Duration readTime{0};
    std::vector<Violation> violations;

    // Events, one line each, if requested.
    std::vector<std::string> lines;
};

// Simulates a group of three databases, two VMs and sessions that roam between the VMs, in virtual
// time: the decisions of the libraries or of the naive proxy, against libs/databasemodel, under
// random faults from a seed. Both policies get the same faults at the same times.
class History
{
public:
    explicit History(const HistoryOptions &options);
    HistoryResult run();

private:
    static constexpr std::size_t vmCount = 2;
    static constexpr std::size_t databaseCount = 3;

    using Event = std::function<void()>;

    struct Request
    {
        RequestId id;
        std::size_t session = 0;
        Access access = Access::Read;
        SessionToken token;
        Instant startedAt;
        Instant receivedAt;
        std::size_t vm = 0;
        unsigned incarnation = 0;
        std::unique_ptr<RequestLifecycle> lifecycle;
        DatabaseConnectionId connection;
        std::size_t database = 0;
        Term term;
        bool byReplica = false;
        bool isEnded = false;
        std::uint64_t open = 0;
        std::vector<std::string> results;
        LogPoint point;
        bool wasReplaced = false;
    };
    using RequestPointer = std::shared_ptr<Request>;

    struct Vm
    {
        std::unique_ptr<GroupView> view;
        std::unique_ptr<Promoter> promoter;
        std::unique_ptr<Confirmer> confirmer;
        std::unique_ptr<LossDetector> detector;
        NaiveProxy naive;
        unsigned incarnation = 0;
        bool isFrozen = false;
        bool isHolding = false;
        std::size_t writesInFlight = 0;
        std::deque<Event> inbox;
        std::map<ConfirmationId, RequestPointer> confirming;
        Instant naivePauseUntil;
    };

    struct Session
    {
        SessionId id;
        SessionToken token;
        RequestId repeated;
        bool hasRepeat = false;
        std::uint64_t next = 0;
    };

    void at(Instant time, Event event);
    void atVm(std::size_t vm, Instant time, Event event);
    void startVm(std::size_t vm);
    void drawFaults();
    void drawFault(Instant from, Instant until);
    void killVm(std::size_t vm);
    void thaw(std::size_t vm);
    void setCut(std::size_t database, bool isCut, std::size_t sparedVm);
    void everyMillisecond();
    void replicate();
    std::size_t draw(std::size_t below);
    std::size_t primaryNow() const;
    bool isBroken(ProductBreak productBreak) const;
    void recordLine(const std::string &text);

    void call(std::size_t vm, std::size_t database, std::function<void(Database &)> run,
              Event answer);
    void manage(std::size_t vm, std::size_t database, const PromotionAction &action);
    void probe(std::size_t vm);
    void receiveStatus(std::size_t vm, const DatabaseStatus &status, Instant askedAt);
    void tickVm(std::size_t vm);
    void tickNaive(std::size_t vm);
    void perform(std::size_t vm, const PromotionActions &actions);
    void callStore(std::size_t vm, const PromotionAction &action);
    void confirm(std::size_t vm);

    void nextRequest(std::size_t session);
    void receive(const RequestPointer &request);
    void routeRequest(const RequestPointer &request);
    void routeReadOf(const RequestPointer &request);
    void serve(const RequestPointer &request, const DatabaseId &database, Term term,
               bool needsConfirmation);
    void sendNext(const RequestPointer &request);
    void answered(const RequestPointer &request, const StatementAnswer &answer);
    void applyVerdict(const RequestPointer &request, const RequestVerdict &verdict);
    void awaitConfirmation(const RequestPointer &request);
    void finish(const RequestPointer &request, Outcome outcome, Reason reason);
    void replyToCaller(const RequestPointer &request, Outcome outcome, Reason reason);
    std::string statementOf(const Request &request) const;
    std::vector<LoggedWrite> writesOf(const Log &log) const;
    void recordNewestWrite(std::size_t database);

    HistoryOptions m_options;
    std::mt19937_64 m_random;
    std::mt19937_64 m_faultRandom;
    Instant m_now;
    std::multimap<Instant, Event> m_events;
    std::vector<Database> m_databases;
    std::array<Vm, vmCount> m_vms;
    std::array<std::array<bool, databaseCount>, vmCount> m_cut{};
    std::array<bool, databaseCount> m_isolated{};
    std::optional<StoredRecord> m_record;
    bool m_storeDown = false;
    bool m_storeLosesAnswers = false;
    std::vector<Session> m_sessions;
    std::set<RequestId> m_loggedWrites;
    std::vector<Term> m_promotedTerms;
    std::uint64_t m_lastConnection = 0;
    HistoryChecker m_checker;
    HistoryResult m_result;
};

} // namespace fescuespring
