#include "net/eventloop.h"

#include "eventloopaccess.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <csignal>
#include <thread>
#include <unordered_map>

namespace asio = boost::asio;

namespace fescuespring {

struct EventLoop::Data
{
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> work{context.get_executor()};
    asio::signal_set stopSignals{context};
    asio::signal_set reloadSignals{context};
    std::unordered_map<TimerId, std::unique_ptr<asio::steady_timer>> timers;
    TimerId lastTimer = 0;
    std::atomic<std::thread::id> thread;

    static void waitForSignal(asio::signal_set &set, const std::function<void()> &handler)
    {
        set.async_wait([&set, handler](const boost::system::error_code &error, int) {
            if (error)
                return;
            waitForSignal(set, handler);
            handler();
        });
    }
};

EventLoop::EventLoop()
    : m_data(std::make_unique<Data>())
{}

EventLoop::~EventLoop()
{
    // Objects owned by the tasks may cancel timers in their destructors.
    const auto timers = std::move(m_data->timers);
    m_data->timers.clear();
}

void EventLoop::run()
{
    m_data->thread = std::this_thread::get_id();
    m_data->context.run();
    m_data->context.restart();
    m_data->thread = std::thread::id();
}

void EventLoop::stop()
{
    m_data->context.stop();
}

void EventLoop::post(std::function<void()> task)
{
    asio::post(m_data->context, std::move(task));
}

bool EventLoop::isLoopThread() const
{
    return m_data->thread == std::this_thread::get_id();
}

Instant EventLoop::now()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

EventLoop::TimerId EventLoop::after(Duration delay, std::function<void()> task)
{
    const TimerId id = ++m_data->lastTimer;
    auto timer = std::make_unique<asio::steady_timer>(m_data->context, delay);
    timer->async_wait([this, id, task = std::move(task)](const boost::system::error_code &error) {
        // A timer that expired just before its cancellation arrives here without an error.
        if (error || m_data->timers.erase(id) == 0)
            return;
        task();
    });
    m_data->timers.emplace(id, std::move(timer));
    return id;
}

void EventLoop::cancel(TimerId id)
{
    m_data->timers.erase(id);
}

void EventLoop::onStopSignal(const std::function<void()> &handler)
{
    m_data->stopSignals.add(SIGTERM);
    m_data->stopSignals.add(SIGINT);
    Data::waitForSignal(m_data->stopSignals, handler);
}

void EventLoop::onReloadSignal(const std::function<void()> &handler)
{
    m_data->reloadSignals.add(SIGHUP);
    Data::waitForSignal(m_data->reloadSignals, handler);
}

boost::asio::io_context &detail::EventLoopAccess::context(EventLoop &loop)
{
    return loop.m_data->context;
}

} // namespace fescuespring
