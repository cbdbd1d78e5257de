#pragma once

#include "relay/lenderfigures.h"
#include "relay/relaypeer.h"
#include "upstreampool/linkpool.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace fescuespring {

// Links to one database that are relayed through another VM. A link is available at once; its first
// statement queues for a connection at the other VM. One thread only.
class RelayPool : public LinkPool, public std::enable_shared_from_this<RelayPool>
{
public:
    // A VM that lends connections.
    struct Lender
    {
        VmId vm = {};

        // If null, the statement is not sent.
        std::shared_ptr<RelayPeer> peer = {};
    };

    struct Options
    {
        Timers &timers;
        DatabaseId database;

        // The peer for a new link; if null, the statement is not sent.
        std::function<std::shared_ptr<RelayPeer>()> peer = {};

        // The lender for a new link of a customer; without it, `peer` is used for these too.
        std::function<Lender(const CustomerId &)> lenderFor = {};
    };

    static std::shared_ptr<RelayPool> make(Options options);

    LinkLease tryAcquire(const LinkRequest &request) override;

    // A link through one lender, which is observed by name.
    LinkLease acquireThrough(const Lender &lender);

    // Since when a lender has brought no reply although some are outstanding or were lost; empty if
    // it responds, or was not used.
    std::optional<Instant> unresponsiveSince(const VmId &vm) const;

    // The lenders for which unresponsiveSince() is set.
    std::vector<VmId> unresponsiveLenders() const;

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
                                         const LinkRequest &request) const override
    {
        return m_figures.expected({work, request.priority, request.customer},
                                  m_options.timers.now());
    }

private:
    class Link;

    explicit RelayPool(Options options);
    void giveBack(const std::shared_ptr<StatementLink> &link) override;

    void observe(const VmId &lender, const std::function<void(DatabaseObserver &)> &change);

    Options m_options;
    DatabaseObserver m_observer;

    // Each lender of customers' links by itself: replies through others do not show that it works.
    std::map<VmId, DatabaseObserver> m_lenders;
    LenderFigures m_figures;
    std::size_t m_inUse = 0;
};

} // namespace fescuespring
