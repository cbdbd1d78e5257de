#pragma once

#include "net/eventloop.h"
#include "store/objectstore.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace fescuespring {

// ObjectStore over HTTP and JSON, as specified in docs/PROTOCOLS.md. To be used only on the loop's
// thread.
class HttpObjectStore : public ObjectStore
{
public:
    // Called when the number of VMs that cannot be decoded changes; they are left out of the list.
    using UnreadableChanged = std::function<void(std::size_t count)>;

    // Connections are bound to localIp; if empty, the system chooses the address.
    HttpObjectStore(EventLoop &loop, const Endpoint &platform, const std::string &localIp = {},
                    UnreadableChanged unreadableChanged = {});
    ~HttpObjectStore() override;

    void read(const std::string &key, std::chrono::milliseconds timeout, ReadDone done) override;
    void list(const std::string &prefix, std::chrono::milliseconds timeout, ListDone done) override;
    void write(const ObjectWrite &write, std::chrono::milliseconds timeout,
               WriteDone done) override;
    void watch(const std::string &key, ObjectVersion after, std::chrono::milliseconds wait,
               ReadDone done) override;
    void vms(std::chrono::milliseconds timeout, VmsDone done) override;

private:
    struct Data;
    std::unique_ptr<Data> m_data;
};

} // namespace fescuespring
