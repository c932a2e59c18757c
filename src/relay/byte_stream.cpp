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

constexpr std::size_t read_size = 64u << 10;
constexpr std::size_t buffers_per_write = 16;
// One ready connection does not keep the others waiting.
constexpr int reads_per_event = 8;

} // namespace

stream_state byte_stream::receive(std::size_t limit)
{
    thread_local std::string buffer(read_size, '\0');
    for (int i = 0; i < reads_per_event; ++i)
    {
        std::size_t const held = received_.size() - consumed_;
        if (held >= limit)
            return stream_state::open;
        ssize_t const count =
            ::recv(socket_.get(), buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count == 0)
            return stream_state::ended;
        if (count < 0)
        {
            bool const idle = errno == EAGAIN || errno == EINTR;
            return idle ? stream_state::open : stream_state::broken;
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
    constexpr std::size_t kept = 4096;
    if (consumed_ == received_.size())
    {
        received_.clear();
        consumed_ = 0;
        if (received_.capacity() > read_size)
            received_.shrink_to_fit();
    }
    else if (consumed_ > kept && consumed_ * 2 > received_.size())
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
        std::array<iovec, buffers_per_write> parts{};
        std::size_t count = 0;
        for (std::string& bytes : unsent_)
        {
            if (count == parts.size())
                break;
            std::size_t const skipped = count == 0 ? offset_ : 0;
            parts[count++] = {bytes.data() + skipped, bytes.size() - skipped};
        }
        msghdr message{};
        message.msg_iov = parts.data();
        message.msg_iovlen = count;
        ssize_t const written =
            ::sendmsg(socket_.get(), &message, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (written < 0)
            return errno == EAGAIN || errno == EINTR || errno == ENOTCONN;
        auto left = static_cast<std::size_t>(written);
        unsent_size_ -= left;
        while (left > 0)
        {
            std::size_t const rest = unsent_.front().size() - offset_;
            std::size_t const taken = std::min(rest, left);
            left -= taken;
            offset_ += taken;
            if (offset_ == unsent_.front().size())
            {
                unsent_.pop_front();
                offset_ = 0;
            }
        }
    }
    return true;
}

} // namespace samphire
