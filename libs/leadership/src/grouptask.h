#pragma once

#include "leadership/succession.h"

#include <memory>
#include <optional>
#include <utility>

namespace fescuespring::detail {

// What the holder of the promotion lock does for one group, in steps: each runs only while the task
// goes on. Task derives from GroupTask<Task>, and has end(outcome), which ends it, and
// reasonToEnd(), which names why it cannot go on, or is null.
template <typename Task>
class GroupTask : public std::enable_shared_from_this<Task>
{
public:
    // Ends the task, as the owner is being destroyed; pending callbacks have no effect.
    void abandon()
    {
        m_isRunning = false;
        m_owner = nullptr;
    }

protected:
    GroupTask(Succession &owner, GroupId group)
        : m_owner(&owner)
        , m_group(std::move(group))
        , m_startedAt(owner.m_options.timers.now())
    {}

    Instant now() const
    {
        return m_owner->m_options.timers.now();
    }

    void after(Duration delay, void (Task::*step)())
    {
        m_owner->m_options.timers.after(delay, [weak = this->weak_from_this(), step] {
            const auto self = weak.lock();
            if (self && self->canContinue())
                (self.get()->*step)();
        });
    }

    // Lets a database receive again that is paused for a term above this one; returns whether it
    // is.
    bool resumeIfPaused(const DatabaseId &database, const std::optional<UpstreamStatus> &status,
                        Term term, Duration timeout)
    {
        if (!status || status->heldTerm <= term)
            return false;
        m_owner->m_ports.command(database, {.kind = StatementKind::Resume}, timeout,
                                 [](const std::optional<StatementReply> &) {});
        return true;
    }

    // Ends the task if it cannot go on.
    bool canContinue()
    {
        if (!m_isRunning)
            return false;
        Task &task = static_cast<Task &>(*this);
        const char *reason = m_owner->holdsPromotionLock() ? task.reasonToEnd() : "duty-lost";
        if (reason)
            task.end(reason);
        return !reason;
    }

    Succession *m_owner;
    GroupId m_group;
    Instant m_startedAt;
    bool m_isRunning = true;
};

} // namespace fescuespring::detail
