#include "relay/byte_stream.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <sys/uio.h>

namespace samphire
{

namespace
{

constexpr std::size_t read_buffer_bytes = 64u << 10;
constexpr std::size_t max_buffers_per_write = 16;
// Limits the reads per ready event, so that one connection cannot starve the
// other connections of the event loop.
constexpr int max_reads_per_event = 8;

} // namespace

stream_state byte_stream::receive(std::size_t max_unconsumed_bytes)
{
    thread_local std::string buffer(read_buffer_bytes, '\0');
    for (int i = 0; i < max_reads_per_event; ++i)
    {
        std::size_t const unconsumed = receive_buffer_.size() - consumed_bytes_;
        if (unconsumed >= max_unconsumed_bytes)
            return stream_state::open;
        ssize_t const count =
            ::recv(socket_.get(), buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count == 0)
            return write_failed_ ? stream_state::broken : stream_state::ended;
        if (count < 0)
        {
            bool const would_block = errno == EAGAIN || errno == EINTR;
            return would_block ? stream_state::open : stream_state::broken;
        }
        receive_buffer_.append(buffer.data(), static_cast<std::size_t>(count));
        if (static_cast<std::size_t>(count) < buffer.size())
            return stream_state::open;
    }
    return stream_state::open;
}

void byte_stream::consume(std::size_t byte_count)
{
    consumed_bytes_ += byte_count;
    constexpr std::size_t compaction_threshold_bytes = 4096;
    if (consumed_bytes_ == receive_buffer_.size())
    {
        receive_buffer_.clear();
        consumed_bytes_ = 0;
        if (receive_buffer_.capacity() > read_buffer_bytes)
            receive_buffer_.shrink_to_fit();
    }
    else if (
        consumed_bytes_ > compaction_threshold_bytes &&
        consumed_bytes_ * 2 > receive_buffer_.size())
    {
        receive_buffer_.erase(0, consumed_bytes_);
        consumed_bytes_ = 0;
    }
}

bool byte_stream::has_peer_closed() const
{
    char next = 0;
    ssize_t const count =
        ::recv(socket_.get(), &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

void byte_stream::queue(std::string bytes)
{
    if (bytes.empty())
        return;
    unsent_bytes_ += bytes.size();
    unsent_buffers_.push_back(std::move(bytes));
}

bool byte_stream::send(std::string bytes)
{
    queue(std::move(bytes));
    return unsent_buffers_.size() > 1 ? true : flush();
}

bool byte_stream::flush()
{
    while (!unsent_buffers_.empty())
    {
        std::array<iovec, max_buffers_per_write> parts{};
        std::size_t count = 0;
        for (std::string& bytes : unsent_buffers_)
        {
            if (count == parts.size())
                break;
            std::size_t const skipped = count == 0 ? front_sent_bytes_ : 0;
            parts[count++] = {bytes.data() + skipped, bytes.size() - skipped};
        }
        msghdr message{};
        message.msg_iov = parts.data();
        message.msg_iovlen = count;
        ssize_t const written =
            ::sendmsg(socket_.get(), &message, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (written < 0)
        {
            write_failed_ =
                errno != EAGAIN && errno != EINTR && errno != ENOTCONN;
            return !write_failed_;
        }
        auto remaining = static_cast<std::size_t>(written);
        unsent_bytes_ -= remaining;
        while (remaining > 0)
        {
            std::size_t const unsent_in_front =
                unsent_buffers_.front().size() - front_sent_bytes_;
            std::size_t const sent = std::min(unsent_in_front, remaining);
            remaining -= sent;
            front_sent_bytes_ += sent;
            if (front_sent_bytes_ == unsent_buffers_.front().size())
            {
                unsent_buffers_.pop_front();
                front_sent_bytes_ = 0;
            }
        }
    }
    return true;
}

} // namespace samphire
