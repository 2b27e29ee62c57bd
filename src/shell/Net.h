#pragma once

#include <boost/asio.hpp>
#include <boost/beast.hpp>

/// Aliases for Boost.Asio and Boost.Beast, which all sockets, timers and coroutines of src/shell use. Precompiled.
namespace crocusmount {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;
using Udp = boost::asio::ip::udp;
/// A process has one io_context that runs on one thread. A concrete executor type avoids the type-erased
/// any_io_executor.
using Executor = net::io_context::executor_type;
template <typename T>
using Awaitable = net::awaitable<T, Executor>;
inline constexpr net::use_awaitable_t<Executor> useAwaitable;
using TcpStream = beast::basic_stream<Tcp, Executor, beast::unlimited_rate_policy>;
using Timer
    = net::basic_waitable_timer<std::chrono::steady_clock, net::wait_traits<std::chrono::steady_clock>, Executor>;

} // namespace crocusmount
