#include "daemon/peer_connection.hpp"

#include "wire/message_codec.hpp"

#include <array>
#include <cerrno>
#include <cstdint>
#include <sys/socket.h>

namespace samphire
{

namespace
{

constexpr std::size_t read_size = 64 * 1024;

} // namespace

bool peer_connection::queue(std::string_view message)
{
    if (unsent_.size() - sent_ + message.size() > unsent_limit)
        return false;
    auto const size = static_cast<std::uint32_t>(message.size());
    for (int shift = 24; shift >= 0; shift -= 8)
        unsent_.push_back(static_cast<char>(size >> shift));
    unsent_.append(message);
    return true;
}

bool peer_connection::flush()
{
    while (has_unsent())
    {
        auto const written = ::send(
            descriptor(),
            unsent_.data() + sent_,
            unsent_.size() - sent_,
            MSG_NOSIGNAL);
        if (written < 0)
            return errno == EAGAIN || errno == EINTR || errno == EINPROGRESS ||
                   errno == ENOTCONN;
        sent_ += static_cast<std::size_t>(written);
    }
    unsent_.clear();
    sent_ = 0;
    return true;
}

bool peer_connection::receive()
{
    std::array<char, read_size> buffer;
    for (;;)
    {
        auto const count =
            ::recv(descriptor(), buffer.data(), buffer.size(), 0);
        if (count < 0)
            return errno == EAGAIN || errno == EINTR;
        if (count == 0)
            return false;
        received_.append(buffer.data(), static_cast<std::size_t>(count));
        if (static_cast<std::size_t>(count) < buffer.size())
            return true;
    }
}

std::optional<std::string> peer_connection::next_message()
{
    std::size_t const available = received_.size() - consumed_;
    std::size_t size = 0;
    if (available >= length_size)
    {
        for (std::size_t i = 0; i < length_size; ++i)
            size = (size << 8) |
                   static_cast<unsigned char>(received_[consumed_ + i]);
        oversized_ = size > message_codec::size_limit;
    }
    if (available < length_size || oversized_ || available - length_size < size)
    {
        received_.erase(0, consumed_);
        consumed_ = 0;
        return std::nullopt;
    }
    std::string message = received_.substr(consumed_ + length_size, size);
    consumed_ += length_size + size;
    return message;
}

} // namespace samphire
