#include "history.h"

#include <algorithm>
#include <cstdlib>

namespace fescuespring {

namespace {

using std::chrono::milliseconds;

const GroupId group("herd");
constexpr Duration hop = milliseconds(1);
constexpr Duration storeTime = milliseconds(3);
constexpr Duration callTimeout = milliseconds(500);
constexpr Duration callerTimeout = milliseconds(2500);
constexpr Duration requestDeadline = milliseconds(1500);
constexpr std::size_t statementCount = 3;

DatabaseId nameOf(std::size_t database)
{
    return DatabaseId("d" + std::to_string(database + 1));
}

std::size_t indexOf(const DatabaseId &database)
{
    return static_cast<std::size_t>(database.value().back() - '1');
}

Endpoint endpointOf(std::size_t database)
{
    return {"d", static_cast<std::uint16_t>(database)};
}

std::string text(LogPoint point)
{
    return std::to_string(point.term.value()) + "." + std::to_string(point.position.value());
}

} // namespace

History::History(const HistoryOptions &options)
    : m_options(options)
    , m_random(options.seed)
    , m_faultRandom(options.seed * 7919)
    , m_now(Instant() + std::chrono::seconds(100))
{
    for (std::size_t i = 0; i < databaseCount; ++i) {
        DatabaseOptions database;
        database.database = nameOf(i);
        database.group = group;
        database.initialPrimary = i == 0;
        if (i > 0)
            database.initialFollows = endpointOf(0);
        m_databases.emplace_back(database);
    }
    for (std::size_t i = 0; i < vmCount; ++i)
        startVm(i);
    for (std::size_t i = 0; i < options.sessions; ++i)
        m_sessions.push_back(
                {.id = SessionId("s" + std::to_string(i)), .token = {}, .repeated = {}});
}

HistoryResult History::run()
{
    const Instant end = m_now + m_options.length;
    const Instant settled = end + std::chrono::seconds(6);
    drawFaults();
    if (m_options.isolatesPrimary) {
        at(m_now + std::chrono::seconds(2), [this] { m_isolated[0] = true; });
        at(end, [this] { m_isolated[0] = false; });
    }
    for (std::size_t i = 0; i < m_sessions.size(); ++i)
        at(m_now + milliseconds(300 + 7 * i), [this, i] { nextRequest(i); });
    at(end, [this] { m_options.sessions = 0; });
    while (m_now < settled) {
        everyMillisecond();
        m_now += milliseconds(1);
    }
    const std::size_t last = primaryNow();
    const std::vector<LoggedWrite> surviving = writesOf(m_databases[last].log());
    for (const RequestId &id : m_loggedWrites)
        m_checker.discarded(id);
    m_result.violations = m_checker.check(surviving);
    m_result.requests = m_checker.requests();
    m_result.promotions = m_promotedTerms.size();
    return std::move(m_result);
}

void History::at(Instant time, Event event)
{
    m_events.emplace(time, std::move(event));
}

// Runs the event at the VM: after the thaw if it is frozen, never if it was killed meanwhile.
void History::atVm(std::size_t index, Instant time, Event event)
{
    const unsigned incarnation = m_vms[index].incarnation;
    at(time, [this, index, incarnation, event = std::move(event)] {
        Vm &vm = m_vms[index];
        if (vm.incarnation != incarnation)
            return;
        if (vm.isFrozen)
            vm.inbox.push_back(event);
        else
            event();
    });
}

void History::startVm(std::size_t index)
{
    Vm &vm = m_vms[index];
    vm.view = std::make_unique<GroupView>(group);
    std::vector<DatabaseSite> sites;
    for (std::size_t i = 0; i < databaseCount; ++i)
        sites.push_back({.database = nameOf(i), .dataCentre = DataCentreId("andong")});
    vm.view->setSites(sites);
    vm.promoter = std::make_unique<Promoter>(
            PromoterOptions{.vm = VmId("vm" + std::to_string(index)), .random = [this] {
                                return m_random();
                            }});
    vm.confirmer = std::make_unique<Confirmer>();
    vm.detector = std::make_unique<LossDetector>(LossOptions{.vantagePoints = vmCount});
    vm.inbox.clear();
    vm.confirming.clear();
    vm.isHolding = false;
    vm.isFrozen = false;
    vm.writesInFlight = 0;
}

// The database whose log has the highest last term.
std::size_t History::primaryNow() const
{
    std::size_t last = 0;
    const auto rank = [&](std::size_t database) {
        const DatabaseStatus status = m_databases[database].status(m_now);
        return std::pair(lastTerm(status.history), status.received);
    };
    for (std::size_t i = 1; i < databaseCount; ++i) {
        if (rank(i) > rank(last))
            last = i;
    }
    return last;
}

bool History::isBroken(ProductBreak productBreak) const
{
    return m_options.productBreak == productBreak;
}

std::size_t History::draw(std::size_t below)
{
    return static_cast<std::size_t>(m_random() % below);
}

void History::recordLine(const std::string &what)
{
    if (!m_options.keepsLines)
        return;
    const auto time = std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()).count();
    m_result.lines.push_back(std::to_string(time - 100000) + " " + what);
}

void History::drawFaults()
{
    for (std::size_t i = 0; i < m_options.faults; ++i) {
        const Instant from = m_now + milliseconds(1000 + m_faultRandom() % 6000);
        const Instant until = from + milliseconds(500 + m_faultRandom() % 3500);
        drawFault(from, until);
    }
}

void History::drawFault(Instant from, Instant until)
{
    const std::size_t vm = m_faultRandom() % vmCount;
    const std::size_t database = m_faultRandom() % databaseCount;
    const auto target = std::make_shared<std::size_t>(database);
    const auto targetPrimary = [this, target] {
        *target = primaryNow();
    };
    switch (m_faultRandom() % 8) {
    case 0:
        at(from, [this, vm] { killVm(vm); });
        break;
    case 1:
        // Isolated from the other databases only.
        at(from, [this, target, targetPrimary] {
            targetPrimary();
            recordLine(nameOf(*target).value() + " isolated from the databases");
            m_isolated[*target] = true;
        });
        at(until, [this, target] { setCut(*target, false, vmCount); });
        break;
    case 2:
        // Isolated from the other databases and from one VM; the other VM still reaches it.
        at(from, [this, vm, target, targetPrimary] {
            targetPrimary();
            setCut(*target, true, vm);
        });
        at(until, [this, target] { setCut(*target, false, vmCount); });
        break;
    case 3:
        at(from, [this, target, targetPrimary] {
            targetPrimary();
            setCut(*target, true, vmCount);
        });
        at(until, [this, target] { setCut(*target, false, vmCount); });
        break;
    case 4:
        at(from, [this, vm] {
            recordLine("vm" + std::to_string(vm) + " frozen");
            m_vms[vm].isFrozen = true;
        });
        at(until, [this, vm] { thaw(vm); });
        break;
    case 5:
        at(from, [this, database] {
            recordLine(nameOf(database).value() + " lags");
            m_databases[database].setLag({.receive = milliseconds(50), .apply = milliseconds(2000)},
                                         m_now);
        });
        at(until, [this, database] { m_databases[database].setLag({}, m_now); });
        break;
    case 6:
        at(from, [this] {
            recordLine("store down");
            m_storeDown = true;
        });
        at(until, [this] { m_storeDown = false; });
        break;
    default:
        at(from, [this] {
            recordLine("store loses answers");
            m_storeLosesAnswers = true;
        });
        at(until, [this] { m_storeLosesAnswers = false; });
        break;
    }
}

void History::setCut(std::size_t database, bool isCut, std::size_t sparedVm)
{
    recordLine(nameOf(database).value() + (isCut ? " partitioned" : " reachable again"));
    m_isolated[database] = isCut;
    for (std::size_t vm = 0; vm < vmCount; ++vm)
        m_cut[vm][database] = isCut && vm != sparedVm;
}

void History::killVm(std::size_t index)
{
    recordLine("vm" + std::to_string(index) + " killed");
    ++m_vms[index].incarnation;
    startVm(index);
}

void History::thaw(std::size_t index)
{
    Vm &vm = m_vms[index];
    if (!vm.isFrozen)
        return;
    recordLine("vm" + std::to_string(index) + " thawed");
    vm.isFrozen = false;
    const std::deque<Event> inbox = std::exchange(vm.inbox, {});
    for (const Event &event : inbox)
        event();
}

void History::everyMillisecond()
{
    while (!m_events.empty() && m_events.begin()->first <= m_now) {
        const Event event = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        event();
    }
    const auto time = std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()).count();
    if (time % 3 == 0)
        replicate();
    for (std::size_t i = 0; i < vmCount; ++i) {
        if (m_vms[i].isFrozen)
            continue;
        if (time % 50 == static_cast<long>(i))
            probe(i);
        if (time % 10 == 0)
            tickVm(i);
        else if (m_options.policy == Policy::Product)
            confirm(i);
    }
}

void History::replicate()
{
    constexpr std::size_t maximumEntries = 1000;
    for (std::size_t i = 0; i < databaseCount; ++i) {
        Database &replica = m_databases[i];
        replica.advance(m_now);
        const auto request = replica.nextRequest();
        if (!request || m_isolated[i])
            continue;
        const std::size_t source = replica.followed()->port;
        if (m_isolated[source])
            continue;
        recordNewestWrite(i);
        replica.receive(m_databases[source].read(*request, maximumEntries), m_now, m_now);
    }
}

void History::call(std::size_t vm, std::size_t database, std::function<void(Database &)> run,
                   Event answer)
{
    const unsigned incarnation = m_vms[vm].incarnation;
    at(m_now + hop,
       [this, vm, database, incarnation, run = std::move(run), answer = std::move(answer)] {
           if (m_cut[vm][database])
               return;
           run(m_databases[database]);
           if (m_vms[vm].incarnation == incarnation)
               atVm(vm, m_now + hop, [this, vm, database, answer] {
                   if (!m_cut[vm][database])
                       answer();
               });
       });
}

void History::probe(std::size_t vm)
{
    for (std::size_t i = 0; i < databaseCount; ++i)
        manage(vm, i, {.kind = PromotionActionKind::Probe});
}

void History::manage(std::size_t vm, std::size_t database, const PromotionAction &action)
{
    const auto status = std::make_shared<DatabaseStatus>();
    const Instant askedAt = m_now;
    const auto run = [this, action, status](Database &target) {
        const bool wasPrimary = target.status(m_now).role == Role::Primary;
        switch (action.kind) {
        case PromotionActionKind::Fence:
            *status = target.fence({action.term}, m_now);
            break;
        case PromotionActionKind::Promote:
            *status = target.promote({action.term}, m_now);
            break;
        case PromotionActionKind::Follow:
            *status = target.follow({action.term, endpointOf(indexOf(action.primary))}, m_now);
            break;
        default:
            *status = target.status(m_now);
            break;
        }
        if (!wasPrimary && status->role == Role::Primary) {
            m_promotedTerms.push_back(status->term);
            recordLine(status->database.value() + " primary of term "
                       + std::to_string(status->term.value()));
        }
    };
    call(vm, database, run, [this, vm, status, askedAt] { receiveStatus(vm, *status, askedAt); });
    atVm(vm, m_now + milliseconds(100), [this, vm, database, askedAt] {
        const DatabaseView *view = m_vms[vm].view->find(nameOf(database));
        if (!view->status || view->askedAt < askedAt)
            m_vms[vm].view->probeFailed(nameOf(database), askedAt);
    });
}

void History::receiveStatus(std::size_t index, const DatabaseStatus &status, Instant askedAt)
{
    Vm &vm = m_vms[index];
    vm.view->applyStatus(status, askedAt, m_now);
    if (m_options.policy == Policy::Naive)
        return;
    perform(index, vm.promoter->statusReceived(status, askedAt, m_now));
    confirm(index);
}

void History::tickVm(std::size_t index)
{
    if (m_options.policy == Policy::Naive) {
        tickNaive(index);
        return;
    }
    Vm &vm = m_vms[index];
    const Term term = vm.view->primary() ? vm.view->primary()->term : Term();
    const bool reaches =
            vm.view->primary() && vm.view->find(vm.view->primary()->database)->reachable;
    for (std::size_t other = 0; other < vmCount; ++other) {
        if (other == index)
            continue;
        const PeerReport report{VmId("vm" + std::to_string(index)), term, reaches, m_now};
        atVm(other, m_now + hop, [this, other, report] { m_vms[other].detector->report(report); });
    }
    const LossVerdict verdict = vm.detector->examine(*vm.view, m_now);
    const bool isIsolated = verdict == LossVerdict::Isolated;
    if (verdict == LossVerdict::Lost || isIsolated) {
        const PromotionRequest change{.avoid = isIsolated ? vm.view->primary()->database
                                                          : DatabaseId(),
                                      .silentSince = vm.detector->silentSince(),
                                      .foundAt = m_now};
        perform(index, vm.promoter->start(change, *vm.view, m_now));
    }
    perform(index, vm.promoter->tick(m_now));
    if (vm.promoter->step() == PromotionStep::Draining && vm.writesInFlight == 0)
        perform(index, vm.promoter->drained(m_now));
    perform(index, repointStragglers(*vm.view));
    confirm(index);
}

void History::tickNaive(std::size_t index)
{
    Vm &vm = m_vms[index];
    if (m_now < vm.naivePauseUntil)
        return;
    const auto promotion = vm.naive.promote(*vm.view, m_now);
    if (!promotion)
        return;
    vm.naivePauseUntil = m_now + milliseconds(300);
    const std::size_t chosen = indexOf(promotion->database);
    manage(index, chosen, {.kind = PromotionActionKind::Fence, .term = promotion->term});
    manage(index, chosen, {.kind = PromotionActionKind::Promote, .term = promotion->term});
    for (const DatabaseId &follower : promotion->followers)
        manage(index, indexOf(follower),
               {.kind = PromotionActionKind::Follow,
                .term = promotion->term,
                .primary = promotion->database});
}

void History::perform(std::size_t vm, const PromotionActions &actions)
{
    for (const PromotionAction &action : actions) {
        switch (action.kind) {
        case PromotionActionKind::ReadRecord:
        case PromotionActionKind::WriteRecord:
            callStore(vm, action);
            break;
        case PromotionActionKind::HoldWrites:
        case PromotionActionKind::ReleaseWrites:
            m_vms[vm].isHolding = action.kind == PromotionActionKind::HoldWrites;
            break;
        default:
            manage(vm, indexOf(action.database), action);
            break;
        }
    }
}

void History::callStore(std::size_t vm, const PromotionAction &action)
{
    const auto fail = [this, vm, call = action.call] {
        perform(vm, m_vms[vm].promoter->storeFailed(call, m_now));
    };
    if (m_storeDown) {
        atVm(vm, m_now + milliseconds(100), fail);
        return;
    }
    if (action.kind == PromotionActionKind::ReadRecord) {
        atVm(vm, m_now + storeTime, [this, vm, call = action.call, record = m_record] {
            perform(vm, m_vms[vm].promoter->recordRead(call, record, m_now));
        });
        return;
    }
    const ObjectVersion current = m_record ? m_record->version : ObjectVersion();
    if (current != action.ifVersion) {
        atVm(vm, m_now + storeTime, [this, vm, call = action.call] {
            perform(vm, m_vms[vm].promoter->recordConflict(call, m_now));
        });
        return;
    }
    m_record = StoredRecord{action.record, current.next()};
    if (m_storeLosesAnswers) {
        atVm(vm, m_now + milliseconds(100), fail);
        return;
    }
    atVm(vm, m_now + storeTime, [this, vm, call = action.call, version = current.next()] {
        perform(vm, m_vms[vm].promoter->recordWritten(call, version, m_now));
    });
}

void History::confirm(std::size_t index)
{
    Vm &vm = m_vms[index];
    for (const ConfirmationResult &result : vm.confirmer->advance(*vm.view, m_now)) {
        const RequestPointer request = vm.confirming[result.id];
        vm.confirming.erase(result.id);
        if (result.outcome == ConfirmationOutcome::NotDurableInTime)
            vm.detector->recordUnreplicatedWrite(m_now);
        applyVerdict(request, request->lifecycle->confirmed(result.outcome));
    }
    if (vm.confirmer->startRound(m_now))
        probe(index);
}

void History::nextRequest(std::size_t index)
{
    if (m_options.sessions == 0)
        return;
    Session &session = m_sessions[index];
    auto request = std::make_shared<Request>();
    request->session = index;
    request->access = session.hasRepeat || draw(2) == 0 ? Access::Write : Access::Read;
    request->id = session.hasRepeat
                          ? session.repeated
                          : RequestId(session.id.value() + "-" + std::to_string(session.next++));
    session.hasRepeat = false;
    request->startedAt = m_now;
    request->token = session.token;
    request->vm = draw(vmCount);
    request->incarnation = m_vms[request->vm].incarnation;
    atVm(request->vm, m_now + hop, [this, request] { receive(request); });
    at(m_now + callerTimeout,
       [this, request] { replyToCaller(request, Outcome::Unknown, Reason::DeadlinePassed); });
}

void History::receive(const RequestPointer &request)
{
    request->receivedAt = m_now;
    request->connection = DatabaseConnectionId(++m_lastConnection);
    const bool isWrite = request->access == Access::Write;
    request->lifecycle = std::make_unique<RequestLifecycle>(
            RequestTraits{.access = request->access,
                          .idempotent = !isWrite,
                          .statements = isWrite ? statementCount : 1},
            RequestLifecycleOptions{.maximumAttempts = isWrite ? 1U : 3U});
    routeRequest(request);
}

void History::routeRequest(const RequestPointer &request)
{
    Vm &vm = m_vms[request->vm];
    if (request->access == Access::Read) {
        routeReadOf(request);
        return;
    }
    if (m_options.policy == Policy::Naive) {
        const auto primary = vm.naive.routeWrite(*vm.view);
        if (primary)
            serve(request, primary->database, primary->term, false);
        else
            applyVerdict(request, request->lifecycle->notSent(Reason::NoPrimary));
        return;
    }
    const WriteDecision decision =
            routeWrite(*vm.view, milliseconds(200), request->token.point(group));
    if (decision.action == WriteAction::Serve && !vm.isHolding)
        serve(request, decision.database, decision.term, true);
    else
        applyVerdict(request, request->lifecycle->notSent(vm.isHolding ? Reason::NoPrimary
                                                                       : decision.reason));
}

void History::routeReadOf(const RequestPointer &request)
{
    Vm &vm = m_vms[request->vm];
    if (m_options.policy == Policy::Naive || isBroken(ProductBreak::IgnoreToken)) {
        const auto database = vm.naive.routeRead(*vm.view);
        if (!database) {
            finish(request, Outcome::NotRun, Reason::UpstreamUnreachable);
            return;
        }
        request->byReplica = vm.view->find(*database)->status->role == Role::Replica;
        serve(request, *database, vm.view->find(*database)->status->term, false);
        return;
    }
    const ReadRouter router({.dataCentre = DataCentreId("andong")});
    const ReadDecision decision = router.route(*vm.view,
                                               {.point = request->token.point(group),
                                                .receivedAt = request->receivedAt,
                                                .deadline = request->receivedAt + requestDeadline},
                                               m_now);
    switch (decision.action) {
    case ReadAction::Serve:
        request->byReplica = decision.byReplica;
        serve(request, decision.database, decision.term, decision.needsConfirmation);
        return;
    case ReadAction::Refuse:
        finish(request, Outcome::NotRun, decision.reason);
        return;
    case ReadAction::Wait:
    case ReadAction::ProbeFirst:
        probe(request->vm);
        atVm(request->vm, decision.until, [this, request] { routeRequest(request); });
        return;
    }
}

void History::serve(const RequestPointer &request, const DatabaseId &database, Term term,
                    bool needsConfirmation)
{
    request->database = indexOf(database);
    request->term = term;
    const bool isWrite = request->access == Access::Write;
    if (!isWrite)
        request->lifecycle = std::make_unique<RequestLifecycle>(
                RequestTraits{.idempotent = true, .needsConfirmation = needsConfirmation});
    if (isWrite)
        ++m_vms[request->vm].writesInFlight;
    sendNext(request);
}

std::string History::statementOf(const Request &request) const
{
    const std::string &key = m_sessions[request.session].id.value();
    if (request.access == Access::Read)
        return "get count-" + key;
    switch (request.lifecycle->statement()) {
    case 0:
        return "add count-" + key + " 1";
    case 1:
        return "set mark-" + key + " " + request.id.value();
    default:
        return "get mark-" + key;
    }
}

void History::sendNext(const RequestPointer &request)
{
    StatementCall statement{.kind = request->lifecycle->nextCall(),
                            .access = request->access,
                            .term = request->term,
                            .id = isBroken(ProductBreak::OmitRequestId)
                                          ? RequestId(request->id.value() + "/"
                                                      + std::to_string(request->connection.value()))
                                          : request->id,
                            .idempotent = request->access == Access::Read,
                            .statement = statementOf(*request)};
    request->lifecycle->sending();
    const std::uint64_t open = ++request->open;
    const auto answer = std::make_shared<StatementAnswer>();
    const auto run = [this, request, statement, answer](Database &database) {
        *answer = database.execute(request->connection, statement, m_now);
        recordNewestWrite(request->database);
    };
    // A killed VM loses its connections; the database detects this and rolls back.
    const unsigned incarnation = m_vms[request->vm].incarnation;
    at(m_now + callTimeout, [this, request, incarnation] {
        if (m_vms[request->vm].incarnation != incarnation)
            m_databases[request->database].connectionLost(request->connection);
    });
    call(request->vm, request->database, run, [this, request, answer, open] {
        if (request->open == open)
            answered(request, *answer);
    });
    atVm(request->vm, m_now + callTimeout, [this, request, open] {
        if (request->open != open)
            return;
        ++request->open;
        RequestVerdict verdict = request->lifecycle->connectionLost();
        if (isBroken(ProductBreak::GuessNotRun) && verdict.outcome == Outcome::Unknown)
            verdict.outcome = Outcome::NotRun;
        applyVerdict(request, verdict);
    });
}

void History::answered(const RequestPointer &request, const StatementAnswer &answer)
{
    ++request->open;
    request->point = answer.point;
    request->wasReplaced = std::any_of(m_promotedTerms.begin(), m_promotedTerms.end(),
                                       [&](Term term) { return term > request->term; });
    if (answer.repeated)
        request->results = splitRecordedResults(answer.result, statementCount);
    else if (request->lifecycle->nextCall() != CallKind::Begin
             && request->lifecycle->nextCall() != CallKind::Commit)
        request->results.push_back(answer.result);
    Vm &vm = m_vms[request->vm];
    const bool isTokenRead = request->access == Access::Read && m_options.policy == Policy::Product
                             && !isBroken(ProductBreak::IgnoreToken);
    if (isTokenRead && answer.outcome == CallOutcome::Done) {
        vm.view->raiseApplied(nameOf(request->database), answer.point);
        const ReadCheck check = checkRead(*vm.view, request->token.point(group), answer);
        if (check == ReadCheck::Discarded) {
            finish(request, Outcome::NotRun, Reason::HistoryDiscarded);
            return;
        }
        if (check == ReadCheck::RouteAgain) {
            request->results.clear();
            probe(request->vm);
            atVm(request->vm, m_now + milliseconds(5), [this, request] { routeRequest(request); });
            return;
        }
    }
    applyVerdict(request, request->lifecycle->answered(answer));
}

void History::applyVerdict(const RequestPointer &request, const RequestVerdict &verdict)
{
    if (verdict.closeConnection)
        call(
                request->vm, request->database,
                [connection = request->connection](Database &database) {
                    database.connectionLost(connection);
                },
                [] {});
    switch (verdict.step) {
    case RequestStep::SendNext:
        sendNext(request);
        return;
    case RequestStep::Confirm:
        if (m_options.policy == Policy::Naive || isBroken(ProductBreak::SkipEvidence))
            finish(request, Outcome::Done, Reason::None);
        else
            awaitConfirmation(request);
        return;
    case RequestStep::Retry:
        request->results.clear();
        request->connection = DatabaseConnectionId(++m_lastConnection);
        atVm(request->vm, m_now + milliseconds(20), [this, request] { routeRequest(request); });
        return;
    case RequestStep::Finish:
        finish(request, verdict.outcome, verdict.reason);
        return;
    }
}

void History::awaitConfirmation(const RequestPointer &request)
{
    Vm &vm = m_vms[request->vm];
    const ConfirmationId id(request->connection.value());
    const bool isWrite = request->access == Access::Write;
    vm.confirming[id] = request;
    vm.confirmer->await({.id = id,
                         .term = request->term,
                         .since = isWrite ? m_now : request->receivedAt,
                         .deadline = request->receivedAt + requestDeadline,
                         .durablePoint = isWrite ? std::optional(request->point) : std::nullopt});
    confirm(request->vm);
}

void History::finish(const RequestPointer &request, Outcome outcome, Reason reason)
{
    const bool wasServed = request->lifecycle && request->term != Term();
    if (request->access == Access::Write && wasServed)
        --m_vms[request->vm].writesInFlight;
    at(m_now + hop, [this, request, outcome, reason] { replyToCaller(request, outcome, reason); });
}

void History::replyToCaller(const RequestPointer &request, Outcome outcome, Reason reason)
{
    if (request->isEnded)
        return;
    request->isEnded = true;
    Session &session = m_sessions[request->session];
    FinishedRequest finished{.id = request->id,
                             .session = session.id,
                             .access = request->access,
                             .outcome = outcome,
                             .wasReplaced = request->wasReplaced};
    const bool isRead = request->access == Access::Read;
    if (outcome == Outcome::Done) {
        finished.count = std::strtoull(request->results.front().c_str(), nullptr, 10);
        if (!isRead)
            finished.answeredFor = RequestId(request->results.back());
        session.token.advance(group, request->point);
        ++m_result.done;
        (isRead ? m_result.readTime : m_result.writeTime) += m_now - request->startedAt;
        m_result.reads += isRead ? 1 : 0;
        m_result.readsByReplicas += isRead && request->byReplica ? 1 : 0;
    }
    m_checker.finished(finished);
    recordLine(request->id.value() + (isRead ? " read" : " write") + " vm"
               + std::to_string(request->vm) + " " + nameOf(request->database).value() + " "
               + toString(outcome) + " " + toString(reason) + " " + text(request->point) + " count "
               + std::to_string(finished.count));
    if (reason == Reason::HistoryDiscarded) {
        session.token = {};
        m_checker.discardReported(session.id);
    }
    if (!isRead && outcome == Outcome::Unknown && draw(2) == 0) {
        session.repeated = request->id;
        session.hasRepeat = true;
    }
    at(m_now + milliseconds(20 + draw(60)),
       [this, index = request->session] { nextRequest(index); });
}

std::vector<LoggedWrite> History::writesOf(const Log &log) const
{
    std::vector<LoggedWrite> writes;
    for (std::uint64_t i = 1; i <= log.end().value(); ++i) {
        const LogEntry &entry = log.at(LogPosition(i));
        if (!entry.record)
            continue;
        const std::string &id = entry.record->id.value();
        LoggedWrite write{.id = RequestId(id.substr(0, id.find('/')))};
        for (const Effect &effect : entry.effects) {
            if (effect.key.starts_with("mark-"))
                write.marks.emplace_back(effect.value);
        }
        writes.push_back(std::move(write));
    }
    return writes;
}

// The newest entry is sufficient because this runs after every call.
void History::recordNewestWrite(std::size_t database)
{
    const Log &log = m_databases[database].log();
    if (log.end() == LogPosition())
        return;
    const LogEntry &entry = log.at(log.end());
    if (entry.record)
        m_loggedWrites.insert(entry.record->id);
}

} // namespace fescuespring
