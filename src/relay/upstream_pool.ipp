#pragma once

#include "base/text.hpp"
#include "http/header_syntax.hpp"
#include "http/response_status.hpp"

#include <absl/strings/ascii.h>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>

#include <algorithm>
#include <string_view>
#include <sys/epoll.h>
#include <utility>

namespace samphire
{

namespace upstream_pool_limits
{

constexpr std::size_t max_header_bytes = 64u << 10;
constexpr std::uint64_t max_body_bytes = 64u << 20;
constexpr std::size_t max_buffered_bytes = 1u << 20;
// Interim responses, and answers to other requests, before the answer to the
// request in progress.
constexpr std::size_t max_skipped_messages = 64;
// Time for which an idle connection is reused when the upstream does not
// announce a keep-alive timeout.
constexpr absl::Duration default_max_idle_duration = absl::Seconds(4);
// An idle connection is reused for this ratio of the announced keep-alive
// timeout, because the timeout is announced in whole seconds and each side
// measures the idle time with its own clock.
constexpr double idle_duration_ratio = 0.6;
// A request that must not be repeated reuses only a connection that was idle
// for less than this time, because the upstream may be about to close a
// connection that was idle for longer.
constexpr absl::Duration max_idle_duration_for_non_repeatable =
    absl::Milliseconds(1500);
constexpr absl::Duration unacknowledged_timeout = absl::Seconds(2);

inline absl::Duration max_idle_duration(
    boost::beast::http::response<boost::beast::http::string_body> const&
        message)
{
    auto const header = message.find(boost::beast::http::field::keep_alive);
    if (header == message.end())
        return default_max_idle_duration;
    std::string const text = absl::AsciiStrToLower(
        std::string(header->value().data(), header->value().size()));
    auto const at = text.find("timeout=");
    constexpr std::size_t name_size = 8;
    if (at == std::string::npos)
        return default_max_idle_duration;
    std::string_view const digits =
        std::string_view(text).substr(at + name_size);
    auto const seconds = parse_number<std::uint32_t>(
        digits.substr(0, digits.find_first_not_of("0123456789")));
    return seconds ? absl::Seconds(*seconds) * idle_duration_ratio
                   : default_max_idle_duration;
}

/// Returns whether the parser has removed every transfer coding of the body. It
/// knows "chunked" and ignores all others, of which "identity" changes nothing.
inline bool is_transfer_coding_known(
    boost::beast::http::response<boost::beast::http::string_body> const&
        message)
{
    auto const codings =
        message.equal_range(boost::beast::http::field::transfer_encoding);
    return std::all_of(
        codings.first,
        codings.second,
        [](auto const& coding)
        {
            return boost::beast::iequals(coding.value(), "chunked") ||
                   boost::beast::iequals(coding.value(), "identity");
        });
}

} // namespace upstream_pool_limits

template <class Codec, class Handler>
upstream_connection*
upstream_pool<Codec, Handler>::open_connection(std::uint64_t& id)
{
    file_descriptor socket = socket_factory::connect(
        upstream_, upstream_pool_limits::unacknowledged_timeout);
    if (!socket.valid())
        return nullptr;
    ++opened_connections_;
    id = ++last_connection_id_;
    auto connection =
        std::make_unique<upstream_connection>(byte_stream(std::move(socket)));
    constexpr std::uint32_t events = EPOLLIN | EPOLLOUT | EPOLLRDHUP;
    connection->stream_.replace_epoll_events(events);
    loop_.add(
        connection->stream_.descriptor(),
        events,
        [this, id](std::uint32_t ready) { on_ready(id, ready); });
    return connections_.emplace(id, std::move(connection)).first->second.get();
}

template <class Codec, class Handler>
upstream_connection* upstream_pool<Codec, Handler>::acquire_idle_connection(
    bool repeatable, std::uint64_t& id, absl::Time now)
{
    while (!idle_connections_.empty())
    {
        id = idle_connections_.back();
        upstream_connection& connection = *connections_.at(id);
        absl::Duration const age = now - connection.idle_since_;
        if (age >= connection.max_idle_duration_)
        {
            idle_connections_.pop_back();
            close_connection(id);
            continue;
        }
        if (!repeatable &&
            age > upstream_pool_limits::max_idle_duration_for_non_repeatable)
            return nullptr;
        idle_connections_.pop_back();
        return &connection;
    }
    return nullptr;
}

template <class Codec, class Handler>
void upstream_pool<Codec, Handler>::start(
    execute_order const& order,
    upstream_record const& record,
    absl::Duration remaining_time)
{
    std::uint64_t id = 0;
    upstream_connection* connection =
        acquire_idle_connection(is_repeatable(order.kind_), id, clock_.now());
    if (!connection)
        connection = open_connection(id);
    if (!connection)
    {
        handler_.on_upstream_failure(
            order.key_, order.fingerprint_, upstream_failure::refused);
        return;
    }
    connection->key_ = order.key_;
    connection->attempt_ = order.attempt_;
    connection->fingerprint_ = order.fingerprint_;
    connection->is_head_request_ = order.method_ == "HEAD";
    connection->request_in_progress_ = true;
    busy_connection_ids_[order.key_] = id;
    connection->stream_.queue(
        Codec::encode_head(order, record, remaining_time));
    connection->stream_.queue(order.body_.bytes());
    if (connection->connected_ && !connection->stream_.flush())
    {
        // The event loop reports the failed write after start() has returned to
        // its caller.
        loop_.modify(connection->stream_.descriptor(), EPOLLIN | EPOLLOUT);
        return;
    }
    update_events(*connection);
}

template <class Codec, class Handler>
bool upstream_pool<Codec, Handler>::withdraw(execution_key key)
{
    auto const found = busy_connection_ids_.find(key);
    if (found == busy_connection_ids_.end() ||
        connections_.at(found->second)->connected_)
        return false;
    std::uint64_t const id = found->second;
    busy_connection_ids_.erase(found);
    close_connection(id);
    return true;
}

template <class Codec, class Handler>
void upstream_pool<Codec, Handler>::abort(execution_key key)
{
    auto const found = busy_connection_ids_.find(key);
    if (found == busy_connection_ids_.end())
        return;
    std::uint64_t const id = found->second;
    busy_connection_ids_.erase(found);
    close_connection(id);
}

template <class Codec, class Handler>
void upstream_pool<Codec, Handler>::probe_upstream()
{
    std::uint64_t id = 0;
    upstream_connection* const connection = open_connection(id);
    if (connection)
        connection->is_probe_ = true;
    else
        handler_.on_upstream_probe_result(false);
}

template <class Codec, class Handler>
void upstream_pool<Codec, Handler>::on_ready(
    std::uint64_t id, std::uint32_t events)
{
    auto const found = connections_.find(id);
    if (found == connections_.end())
        return;
    upstream_connection& connection = *found->second;
    if (!connection.connected_ && (events & (EPOLLOUT | EPOLLERR | EPOLLHUP)))
    {
        connection.connected_ =
            socket_factory::connect_succeeded(connection.stream_.descriptor());
        if (connection.is_probe_)
        {
            bool const reached = connection.connected_;
            close_connection(id);
            handler_.on_upstream_probe_result(reached);
            return;
        }
        if (!connection.connected_)
        {
            fail_request(id, connection, upstream_failure::refused);
            return;
        }
    }
    if (events & EPOLLOUT)
    {
        // Waits only for input when writing fails, since an answer may still be
        // readable.
        if (connection.stream_.flush())
            update_events(connection);
        else
            loop_.modify(connection.stream_.descriptor(), EPOLLIN | EPOLLRDHUP);
    }
    if (events & (EPOLLIN | EPOLLRDHUP | EPOLLERR | EPOLLHUP))
        read_answer(id, connection);
}

template <class Codec, class Handler>
void upstream_pool<Codec, Handler>::read_answer(
    std::uint64_t id, upstream_connection& connection)
{
    stream_state const state =
        connection.stream_.receive(upstream_pool_limits::max_buffered_bytes);
    if (!connection.request_in_progress_)
    {
        // Closes the connection, since the upstream has closed its side or has
        // sent bytes that belong to no request.
        std::erase(idle_connections_, id);
        close_connection(id);
        return;
    }
    // Without a length, the end of the stream tells a whole answer from that of
    // an upstream that has died only if the upstream takes the whole request.
    bool const request_sent = !connection.stream_.has_unsent_bytes();
    parse_answer(id, connection, state == stream_state::ended && request_sent);
    auto const still_open = connections_.find(id);
    if (still_open == connections_.end() ||
        !still_open->second->request_in_progress_ ||
        state == stream_state::open)
        return;
    if (state == stream_state::ended && !request_sent &&
        is_answer_without_length(*still_open->second))
    {
        still_open->second->waits_to_send_rest_ = true;
        update_events(*still_open->second);
        return;
    }
    fail_request(id, *still_open->second, upstream_failure::connection_lost);
}

template <class Codec, class Handler>
void upstream_pool<Codec, Handler>::parse_answer(
    std::uint64_t id, upstream_connection& connection, bool ended)
{
    while (true)
    {
        bool const has_bytes = !connection.stream_.received().empty();
        if (!has_bytes && (!ended || !connection.parser_))
            return;
        std::size_t parsed_bytes = 0;
        if (has_bytes && !parse_received(connection, parsed_bytes))
        {
            fail_request(id, connection, upstream_failure::garbled);
            return;
        }
        count_answer_bytes(
            connection,
            parsed_bytes == 0 ? connection.stream_.received().size() : 0);
        give_up_largest_answers();
        if (!connections_.contains(id))
            return;
        if (!connection.parser_->is_done() && ended &&
            connection.stream_.received().empty() &&
            is_answer_without_length(connection))
        {
            boost::system::error_code error;
            connection.parser_->put_eof(error);
        }
        if (!connection.parser_->is_done())
        {
            if (parsed_bytes == 0)
                return;
            continue;
        }
        auto const& message = connection.parser_->get();
        constexpr unsigned first_final_status = 200;
        bool const is_interim = message.result_int() < first_final_status;
        bool const answers_other_attempt =
            Codec::answered_attempt(message) != connection.attempt_;
        if (is_interim || answers_other_attempt)
        {
            // Skips an interim response, or a duplicate answer to an earlier
            // request; the answer to the request in progress follows.
            connection.parser_.reset();
            total_answer_bytes_ -= std::exchange(connection.answer_bytes_, 0);
            if (++connection.skipped_messages_ >
                upstream_pool_limits::max_skipped_messages)
            {
                fail_request(id, connection, upstream_failure::garbled);
                return;
            }
            continue;
        }
        finish_request(id, connection);
        return;
    }
}

template <class Codec, class Handler>
bool upstream_pool<Codec, Handler>::parse_received(
    upstream_connection& connection, std::size_t& parsed_bytes)
{
    namespace http = boost::beast::http;
    if (!connection.parser_)
    {
        connection.parser_.emplace();
        // Stops after the header: the parser reserves the announced length of a
        // body even if that is over its limit.
        connection.parser_->eager(false);
        connection.parser_->header_limit(
            upstream_pool_limits::max_header_bytes);
        connection.parser_->body_limit(upstream_pool_limits::max_body_bytes);
        connection.parser_->skip(connection.is_head_request_);
        connection.head_bytes_ = 0;
    }
    auto& parser = *connection.parser_;
    std::string_view const bytes = connection.stream_.received();
    bool const is_in_head = !parser.is_header_done();
    boost::system::error_code error;
    parsed_bytes =
        parser.put(boost::asio::buffer(bytes.data(), bytes.size()), error);
    if (error && error != http::error::need_more)
        return false;
    // The parser would join a folded line with the field before it.
    if (is_in_head && has_folded_line(bytes.substr(0, parsed_bytes)))
        return false;
    if (is_in_head)
        connection.head_bytes_ += parsed_bytes;
    connection.stream_.consume(parsed_bytes);
    if (parser.is_header_done() && !parser.eager())
    {
        if (!is_head_valid(connection))
            return false;
        parser.eager(true);
    }
    // The parser itself limits neither a head that it takes in pieces nor the
    // lines between chunks.
    std::size_t const unparsed_bytes =
        parsed_bytes == 0 ? connection.stream_.received().size() : 0;
    return connection.head_bytes_ <= upstream_pool_limits::max_header_bytes &&
           unparsed_bytes <= upstream_pool_limits::max_header_bytes;
}

template <class Codec, class Handler>
bool upstream_pool<Codec, Handler>::is_head_valid(
    upstream_connection const& connection)
{
    auto const& head = connection.parser_->get();
    return is_valid_response_status(head.result_int()) &&
           upstream_pool_limits::is_transfer_coding_known(head) &&
           connection.parser_->content_length().value_or(0) <=
               upstream_pool_limits::max_body_bytes;
}

template <class Codec, class Handler>
bool upstream_pool<Codec, Handler>::is_answer_without_length(
    upstream_connection const& connection)
{
    return connection.parser_ && connection.parser_->is_header_done() &&
           connection.parser_->need_eof();
}

template <class Codec, class Handler>
void upstream_pool<Codec, Handler>::count_answer_bytes(
    upstream_connection& connection, std::size_t unparsed_bytes)
{
    std::size_t size = connection.head_bytes_ + unparsed_bytes;
    // The parser reserves the announced length at once, and without one more
    // than has arrived.
    if (connection.parser_->is_header_done())
        size += std::max<std::size_t>(
            connection.parser_->get().body().capacity(),
            connection.parser_->content_length().value_or(0));
    total_answer_bytes_ += size - connection.answer_bytes_;
    connection.answer_bytes_ = size;
}

template <class Codec, class Handler>
void upstream_pool<Codec, Handler>::give_up_largest_answers()
{
    while (total_answer_bytes_ > max_total_answer_bytes_)
    {
        auto const largest = std::max_element(
            connections_.begin(),
            connections_.end(),
            [](auto const& left, auto const& right) {
                return left.second->answer_bytes_ < right.second->answer_bytes_;
            });
        fail_request(
            largest->first, *largest->second, upstream_failure::garbled);
    }
}

template <class Codec, class Handler>
void upstream_pool<Codec, Handler>::finish_request(
    std::uint64_t id, upstream_connection& connection)
{
    bool const reusable = connection.parser_->keep_alive() &&
                          connection.stream_.received().empty() &&
                          !connection.stream_.has_unsent_bytes();
    auto message = connection.parser_->release();
    connection.parser_.reset();
    connection.skipped_messages_ = 0;
    total_answer_bytes_ -= std::exchange(connection.answer_bytes_, 0);
    execution_key const key = connection.key_;
    busy_connection_ids_.erase(key);
    connection.request_in_progress_ = false;
    if (reusable)
    {
        connection.idle_since_ = clock_.now();
        connection.max_idle_duration_ =
            upstream_pool_limits::max_idle_duration(message);
        idle_connections_.push_back(id);
    }
    else
        close_connection(id);
    handler_.on_upstream_answer(key, Codec::decode_answer(message));
}

template <class Codec, class Handler>
void upstream_pool<Codec, Handler>::fail_request(
    std::uint64_t id, upstream_connection& connection, upstream_failure failure)
{
    execution_key const key = connection.key_;
    std::uint64_t const fingerprint = connection.fingerprint_;
    busy_connection_ids_.erase(key);
    close_connection(id);
    handler_.on_upstream_failure(key, fingerprint, failure);
}

template <class Codec, class Handler>
void upstream_pool<Codec, Handler>::update_events(
    upstream_connection& connection)
{
    bool const waits_to_write =
        !connection.connected_ || connection.stream_.has_unsent_bytes();
    // An ended stream stays readable, so that waiting for input would spin.
    bool const waits_to_read =
        !connection.waits_to_send_rest_ || !waits_to_write;
    std::uint32_t const events =
        (waits_to_read ? std::uint32_t{EPOLLIN | EPOLLRDHUP} : 0) |
        (waits_to_write ? std::uint32_t{EPOLLOUT} : 0);
    if (connection.stream_.replace_epoll_events(events))
        loop_.modify(connection.stream_.descriptor(), events);
}

template <class Codec, class Handler>
std::unique_ptr<upstream_connection>
upstream_pool<Codec, Handler>::close_connection(std::uint64_t id)
{
    auto node = connections_.extract(id);
    if (node.empty())
        return nullptr;
    loop_.remove(node.mapped()->stream_.descriptor());
    total_answer_bytes_ -= node.mapped()->answer_bytes_;
    return std::move(node.mapped());
}

template <class Codec, class Handler>
void upstream_pool<Codec, Handler>::tick(absl::Time now)
{
    std::vector<std::uint64_t> still_idle;
    still_idle.reserve(idle_connections_.size());
    for (std::uint64_t const id : idle_connections_)
    {
        upstream_connection const& connection = *connections_.at(id);
        if (now - connection.idle_since_ < connection.max_idle_duration_)
            still_idle.push_back(id);
        else
            close_connection(id);
    }
    idle_connections_ = std::move(still_idle);
}

} // namespace samphire
