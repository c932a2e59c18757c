#pragma once

#include <pthread.h>
#include <string>
#include <thread>
#include <utility>

namespace samphire
{

/// Thread that is named after its duty and joined by the destructor.
class duty_thread
{
public:
    template <class Function>
    duty_thread(std::string const& duty, Function function)
        : thread_(std::move(function))
    {
        // Linux limits the name of a thread to 15 characters.
        ::pthread_setname_np(
            thread_.native_handle(), duty.substr(0, 15).c_str());
    }

    duty_thread(duty_thread const&) = delete;
    duty_thread& operator=(duty_thread const&) = delete;

    ~duty_thread()
    {
        thread_.join();
    }

private:
    std::thread thread_;
};

} // namespace samphire
