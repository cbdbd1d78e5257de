#pragma once

#include "fescuesoak/ledger.h"
#include "net/eventloop.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace fescuespring {

// What a caller does: the kind of route that it uses.
enum class SoakRoute {
    Primary,
    Own,
    Bounded,
};

struct SoakCallerOptions
{
    EventLoop &loop;
    Ledger &ledger;

    // A name that no other caller has.
    std::string name;
    std::string group;
    SoakRoute route = SoakRoute::Primary;

    // The staleness bound of the route.
    std::chrono::milliseconds maximumStaleness{1500};
    std::uint64_t seed = 1;

    // Where to connect next; nothing while no VM runs.
    std::function<std::optional<Endpoint>()> chooseVm;
};

// One caller over the wire: sessions one after the other, each with a value and a prepared
// statement of its own, which write items that nobody else writes and read them and others'.
// Everything goes into the ledger. It ends a session now and then, also inside a transaction.
class SoakCaller
{
public:
    explicit SoakCaller(SoakCallerOptions options);
    ~SoakCaller();
    SoakCaller(const SoakCaller &) = delete;
    SoakCaller &operator=(const SoakCaller &) = delete;

    void start();

    // Ends the session once nothing is asked; none follows.
    void stop();

    // Operations that succeeded since the last call.
    std::uint64_t takeServed();

private:
    struct Data;
    std::shared_ptr<Data> m_data;
};

} // namespace fescuespring
