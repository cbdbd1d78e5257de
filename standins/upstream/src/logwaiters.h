#pragma once

#include "base/types.h"
#include "databasemodel/database.h"

#include <functional>
#include <optional>
#include <vector>

namespace fescuespring {

// The replicas' questions that a primary holds while it has nothing new for them.
class LogWaiters
{
public:
    using Handler = std::function<void(const LogBatch &)>;

    // Answers at once where there is something to tell or no time to wait, else later.
    void ask(const Database &database, const LogRequest &request, Instant now, Duration wait,
             Handler handler);

    // Answers whom the database has news for, and whose time is up.
    void check(const Database &database, Instant now);

    std::optional<Instant> nextEvent() const;

private:
    struct Waiter
    {
        LogRequest request;
        Instant since;
        Instant until;
        Handler handler;
    };

    static bool answer(const Database &database, const Waiter &waiter, Instant now);

    std::vector<Waiter> m_waiters;
};

} // namespace fescuespring
