#include "upstreampool/databaselink.h"

#include <utility>

namespace fescuespring {

DatabaseLink::DatabaseLink(Timers &timers, const UpstreamConnector &connect, Options options)
    : m_timers(timers)
    , m_options(std::move(options))
    , m_lastUsed(timers.now())
{
    m_channel = connect(m_options.target,
                        {.onOpened = [this](const StatementReply &reply) { opened(reply); },
                         .onReply = [this](StatementReply reply) { replied(std::move(reply)); },
                         .onClosed =
                                 [this](const Error &error) {
                                     breakConnection(error);
                                 }});
}

DatabaseLink::~DatabaseLink()
{
    leaveGate(Duration(0));
}

void DatabaseLink::opened(const StatementReply &reply)
{
    m_isOpen = reply.isSuccess();
    m_openedAt = m_timers.now();
    m_lastUsed = m_openedAt;
    m_options.onOpened(*this, reply);
}

void DatabaseLink::run(const LinkCommand &command, Done done)
{
    m_done = std::move(done);
    m_command = command.command;
    m_work = command.work;
    m_statementSent = false;
    m_lastUsed = m_timers.now();
    m_prologueLeft = 0;
    // The VM's own statements are few and must not wait behind those of callers.
    if (!command.context || !m_options.gate.enter) {
        begin(command);
        return;
    }
    m_options.gate.enter([weak = weak_from_this(), command] {
        const auto self = weak.lock();
        if (!self || self->m_isBroken || !self->m_done)
            return false;
        self->m_isInGate = true;
        self->begin(command);
        return true;
    });
}

void DatabaseLink::begin(const LinkCommand &command)
{
    sendPrologue(command);
    if (m_prologueLeft == 0)
        sendStatement();
}

void DatabaseLink::leaveGate(Duration time)
{
    if (std::exchange(m_isInGate, false))
        m_options.gate.leave(time, m_work);
}

void DatabaseLink::sendPrologue(const LinkCommand &command)
{
    std::vector<UpstreamCommand> prologue;
    if (command.context) {
        for (Statement &statement : m_context.adopt(*command.context, command.prepared))
            prologue.push_back({.statement = std::move(statement)});
    }
    if (command.prepared)
        m_command.statement.name = m_context.preparedName(*command.prepared);
    m_prologueBegins = command.begin.has_value();
    if (command.begin)
        prologue.push_back({.after = command.beginAfter, .statement = {.kind = *command.begin}});
    m_prologueLeft = prologue.size();
    if (prologue.empty())
        return;
    m_sentAt = m_timers.now();
    if (m_options.observer.onSent)
        m_options.observer.onSent();
    m_channel->send(prologue);
}

void DatabaseLink::sendStatement()
{
    m_statementSent = true;
    m_sentAt = m_timers.now();
    if (m_options.observer.onSent)
        m_options.observer.onSent();
    m_channel->send({m_command});
}

void DatabaseLink::replied(StatementReply reply)
{
    if (!m_done) {
        breakConnection({.code = ErrorCode::Malformed, .message = "reply without a statement"});
        return;
    }
    m_phase = reply.phase;
    m_lastUsed = m_timers.now();
    if (!m_statementSent) {
        prologueReplied(reply);
        return;
    }
    const Duration time = m_lastUsed - m_sentAt;
    if (m_options.observer.onReply)
        m_options.observer.onReply(reply, time);
    leaveGate(reply.isSuccess() ? time : Duration(0));
    // A restart of the database would have ended this connection.
    if (reply.status)
        reply.status->runningSince = m_openedAt;
    finish({.end = LinkEnd::Answered, .reply = std::move(reply), .sentAt = m_sentAt});
}

void DatabaseLink::prologueReplied(const StatementReply &reply)
{
    --m_prologueLeft;
    const bool isBegin = m_prologueBegins && m_prologueLeft == 0;
    if (reply.isSuccess()) {
        if (m_prologueLeft > 0)
            return;
        if (m_options.observer.onReply)
            m_options.observer.onReply(reply, Duration(0));
        sendStatement();
        return;
    }
    if (m_options.observer.onReply)
        m_options.observer.onReply(reply, Duration(0));
    if (isBegin && reply.phase == SessionPhase::Idle) {
        finish({.end = LinkEnd::Refused, .reply = reply});
        return;
    }
    breakConnection({.code = ErrorCode::Refused,
                     .message = "session values or prepared statement refused"});
}

void DatabaseLink::finish(const LinkOutcome &outcome)
{
    leaveGate(Duration(0));
    const Done done = std::exchange(m_done, nullptr);
    done(outcome);
}

void DatabaseLink::breakConnection(const Error &error)
{
    if (m_isBroken)
        return;
    m_isBroken = true;
    m_isOpen = false;
    // The channel may be the caller, so it is destroyed later; until then it calls this link.
    const auto channel = std::make_shared<std::unique_ptr<UpstreamChannel>>(std::move(m_channel));
    m_timers.after(Duration(0), [channel, self = shared_from_this()] { channel->reset(); });
    leaveGate(Duration(0));
    if (m_done) {
        finish({.end = m_statementSent ? LinkEnd::Lost : LinkEnd::NotSent,
                .reply = {.message = error.message},
                .sentAt = m_sentAt});
    }
    m_options.onBroken(*this, error);
}

} // namespace fescuespring
