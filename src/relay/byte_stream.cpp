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
// Bounds the reads for one ready connection, so that it cannot starve the
// others of the event loop.
constexpr int max_reads_per_event = 8;

} // namespace

stream_state byte_stream::receive(std::size_t limit)
{
    thread_local std::string buffer(read_buffer_bytes, '\0');
    for (int i = 0; i < max_reads_per_event; ++i)
    {
        std::size_t const unconsumed = received_.size() - consumed_;
        if (unconsumed >= limit)
            return stream_state::open;
        ssize_t const count =
            ::recv(socket_.get(), buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count == 0)
            return stream_state::ended;
        if (count < 0)
        {
            bool const would_block = errno == EAGAIN || errno == EINTR;
            return would_block ? stream_state::open : stream_state::broken;
        }
        received_.append(buffer.data(), static_cast<std::size_t>(count));
        if (static_cast<std::size_t>(count) < buffer.size())
            return stream_state::open;
    }
    return stream_state::open;
}

void byte_stream::consume(std::size_t count)
{
    consumed_ += count;
    constexpr std::size_t compaction_threshold_bytes = 4096;
    if (consumed_ == received_.size())
    {
        received_.clear();
        consumed_ = 0;
        if (received_.capacity() > read_buffer_bytes)
            received_.shrink_to_fit();
    }
    else if (
        consumed_ > compaction_threshold_bytes &&
        consumed_ * 2 > received_.size())
    {
        received_.erase(0, consumed_);
        consumed_ = 0;
    }
}

void byte_stream::queue(std::string bytes)
{
    if (bytes.empty())
        return;
    unsent_size_ += bytes.size();
    unsent_.push_back(std::move(bytes));
}

bool byte_stream::send(std::string bytes)
{
    queue(std::move(bytes));
    return unsent_.size() > 1 ? true : flush();
}

bool byte_stream::flush()
{
    while (!unsent_.empty())
    {
        std::array<iovec, max_buffers_per_write> parts{};
        std::size_t count = 0;
        for (std::string& bytes : unsent_)
        {
            if (count == parts.size())
                break;
            std::size_t const skipped = count == 0 ? front_offset_ : 0;
            parts[count++] = {bytes.data() + skipped, bytes.size() - skipped};
        }
        msghdr message{};
        message.msg_iov = parts.data();
        message.msg_iovlen = count;
        ssize_t const written =
            ::sendmsg(socket_.get(), &message, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (written < 0)
            return errno == EAGAIN || errno == EINTR || errno == ENOTCONN;
        auto remaining = static_cast<std::size_t>(written);
        unsent_size_ -= remaining;
        while (remaining > 0)
        {
            std::size_t const unsent_in_front =
                unsent_.front().size() - front_offset_;
            std::size_t const sent = std::min(unsent_in_front, remaining);
            remaining -= sent;
            front_offset_ += sent;
            if (front_offset_ == unsent_.front().size())
            {
                unsent_.pop_front();
                front_offset_ = 0;
            }
        }
    }
    return true;
}

} // namespace samphire
