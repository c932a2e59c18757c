#include <CppUTest/CommandLineTestRunner.h>

int main(int argc, char** argv)
{
    // Library caches allocate once and would be reported as leaks; the
    // AddressSanitizer build checks for leaks instead.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
