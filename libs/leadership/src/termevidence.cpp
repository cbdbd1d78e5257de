#include "leadership/termevidence.h"

#include <algorithm>
#include <utility>

namespace fescuespring {

struct TermEvidence::Round
{
    Instant askedAt;
    Electorate electorate;
    std::vector<Request> requests;
    std::vector<Answer> answers;
    bool isEnded = false;
};

TermEvidence::TermEvidence(Options options)
    : m_options(std::move(options))
{}

TermEvidence::~TermEvidence()
{
    m_options.timers.cancel(m_timer);
}

void TermEvidence::confirm(const DatabaseId &primary, Term term, Done done)
{
    m_waiting.push_back({primary, term, std::move(done)});
    if (!m_round)
        begin();
}

void TermEvidence::begin()
{
    const auto round = std::make_shared<Round>();
    m_round = round;
    round->askedAt = m_options.timers.now();
    round->requests = std::exchange(m_waiting, {});
    round->electorate = m_options.electorate();
    const std::vector<Voter> voters = round->electorate.voters;
    m_timer = m_options.timers.after(voters.empty() ? Duration(0) : m_options.timeout,
                                     [this, round] { end(round); });
    for (const Voter &voter : voters) {
        m_options.requestStatus(
                voter.database, [this, voter, weak = std::weak_ptr(round)](
                                        const std::optional<UpstreamStatus> &status) {
                    if (const auto activeRound = weak.lock(); activeRound && !activeRound->isEnded)
                        addAnswer(activeRound, {voter, status});
                });
    }
}

void TermEvidence::addAnswer(const std::shared_ptr<Round> &round, Answer answer)
{
    round->answers.push_back(std::move(answer));
    const bool isDecided = std::all_of(
            round->requests.begin(), round->requests.end(),
            [&round](const Request &request) { return evaluate(*round, request).isConfirmed; });
    if (isDecided || round->answers.size() == round->electorate.voters.size())
        end(round);
}

// The primary confirms the term if it still leads it, another database if it neither reports nor
// was paused for a later term.
bool TermEvidence::supports(const Answer &answer, const DatabaseId &primary, Term term)
{
    if (!answer.status || !answer.voter.counts)
        return false;
    const UpstreamStatus &status = *answer.status;
    if (answer.voter.database == primary)
        return status.role == Role::Primary && status.term == term;
    return status.term <= term && status.heldTerm <= term;
}

TermEvidence::Outcome TermEvidence::evaluate(const Round &round, const Request &request)
{
    Outcome outcome{.askedAt = round.askedAt};
    for (const Answer &answer : round.answers) {
        const bool isLeader = answer.voter.database == request.primary && answer.status
                              && answer.status->role == Role::Primary;
        if (isLeader) {
            outcome.primaryPosition = answer.status->received;
            outcome.primaryTerm = answer.status->term;
        }
    }
    const bool needsLeader = request.term == Term();
    if (needsLeader && !outcome.primaryPosition)
        return outcome;
    const Term term = needsLeader ? outcome.primaryTerm : request.term;
    std::size_t supporting = 0;
    bool isSuperseded = false;
    for (const Answer &answer : round.answers) {
        supporting += supports(answer, request.primary, term) ? 1 : 0;
        isSuperseded = isSuperseded || (answer.status && answer.status->term > term);
    }
    const std::size_t size = round.electorate.size;
    const std::size_t needed = round.electorate.needsAllVotes ? size : size / 2 + 1;
    outcome.isConfirmed = !isSuperseded && size > 1 && supporting >= needed;
    return outcome;
}

void TermEvidence::end(const std::shared_ptr<Round> &round)
{
    if (round->isEnded)
        return;
    round->isEnded = true;
    m_options.timers.cancel(std::exchange(m_timer, 0));
    m_round = nullptr;
    if (!m_waiting.empty())
        begin();
    for (const Request &request : round->requests)
        request.done(evaluate(*round, request));
}

} // namespace fescuespring
