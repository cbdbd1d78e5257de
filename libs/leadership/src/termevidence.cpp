#include "leadership/termevidence.h"

#include <utility>

namespace fescuespring {

struct TermEvidence::Round
{
    Instant askedAt;
    std::size_t asked = 0;
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
    const std::vector<DatabaseId> databases = m_options.databases();
    round->asked = databases.size();
    m_timer = m_options.timers.after(databases.empty() ? Duration(0) : m_options.timeout,
                                     [this, round] { end(round); });
    for (const DatabaseId &database : databases) {
        m_options.askStatus(database, [this, database, weak = std::weak_ptr(round)](
                                              const std::optional<UpstreamStatus> &status) {
            if (const auto asked = weak.lock(); asked && !asked->isEnded)
                answered(asked, {database, status});
        });
    }
}

void TermEvidence::answered(const std::shared_ptr<Round> &round, Answer answer)
{
    round->answers.push_back(std::move(answer));
    if (round->answers.size() == round->asked)
        end(round);
}

TermEvidence::Outcome TermEvidence::judge(const Round &round, const Request &request)
{
    Outcome outcome{.askedAt = round.askedAt};
    for (const Answer &answer : round.answers) {
        const bool isLeader = answer.database == request.primary && answer.status
                           && answer.status->role == Role::Primary;
        if (isLeader) {
            outcome.primaryPosition = answer.status->received;
            outcome.primaryTerm = answer.status->term;
        }
    }
    const Term term = request.term == Term() ? outcome.primaryTerm : request.term;
    std::size_t others = 0;
    std::size_t quiet = 0;
    for (const Answer &answer : round.answers) {
        if (answer.database == request.primary)
            continue;
        ++others;
        const bool knowsNoLater = answer.status && answer.status->term <= term
                                  && answer.status->heldTerm <= term;
        if (knowsNoLater)
            ++quiet;
    }
    const bool allAnswered = round.answers.size() == round.asked;
    outcome.isConfirmed = allAnswered && others > 0 && quiet == others;
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
        request.done(judge(*round, request));
}

} // namespace fescuespring
