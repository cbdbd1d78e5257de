#pragma once

#include "relay/lenderfigures.h"
#include "relay/relaypeer.h"
#include "upstreampool/linkpool.h"

#include <functional>
#include <memory>

namespace fescuespring {

// Links to one database that are relayed through another VM. A link is available at once; its first
// statement queues for a connection at the other VM. One thread only.
class RelayPool : public LinkPool, public std::enable_shared_from_this<RelayPool>
{
public:
    struct Options
    {
        Timers &timers;
        DatabaseId database;

        // The peer for a new link; if null, the statement is not sent.
        std::function<std::shared_ptr<RelayPeer>()> peer = {};
    };

    static std::shared_ptr<RelayPool> make(Options options);

    LinkLease tryAcquire(const LinkRequest &request) override;
    TicketId wait(const LinkRequest &request, Granted granted) override;
    void cancel(TicketId ticket) override;

    const DatabaseObservation &observation() const override
    {
        return m_observer.observation();
    }
    std::size_t load() const override
    {
        return m_inUse;
    }

    // Empty unless a lender has returned figures.
    std::optional<ExpectedLoad> expected(const WorkKind &work,
                                         std::uint32_t priority) const override
    {
        return m_figures.expected({work, priority}, m_options.timers.now());
    }

private:
    class Link;

    explicit RelayPool(Options options);
    void giveBack(const std::shared_ptr<StatementLink> &link) override;

    Options m_options;
    DatabaseObserver m_observer;
    LenderFigures m_figures;
    std::size_t m_inUse = 0;
};

} // namespace fescuespring
