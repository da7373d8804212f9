// Implements reading and making key files.

#include "operator_login.hpp"

#include <pollenhall/io/node_settings.hpp>
#include <pollenhall/io/operator_key.hpp>

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <sstream>
#include <stdexcept>
#include <sys/stat.h>
#include <unistd.h>

namespace pollenhall
{
namespace
{

constexpr mode_t owner_only = 0600;
constexpr mode_t open_to_others = 0077;

[[noreturn]] void fail(std::string const& path, std::string const& reason)
{
    throw std::invalid_argument("key file " + path + ": " + reason);
}

} // namespace

operator_login read_login(std::string const& path)
{
    if (path.empty())
        throw std::invalid_argument(
            "--key-file is missing; it names a file with one line NAME KEY, "
            "as pollenctl new-key writes it");
    struct stat info = {};
    if (stat(path.c_str(), &info) != 0)
        fail(path, std::strerror(errno));
    if ((info.st_mode & open_to_others) != 0)
        fail(path, "others than its owner may read it; allow it with chmod "
                   "600");
    auto const text = read_file(path);
    if (!text.ok())
        fail(path, std::string(text.status().message()));
    std::istringstream in(*text);
    operator_login login;
    std::string rest;
    if (!(in >> login.name >> login.key) || in >> rest)
        fail(path, "allowed is one line NAME KEY");
    return login;
}

std::string write_new_login(std::string const& path, std::string const& name)
{
    auto const key = make_operator_key();
    if (!key.ok())
        fail(path, std::string(key.status().message()));
    int const file =
        open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, owner_only);
    if (file < 0)
        fail(path, std::strerror(errno));
    auto const line = name + " " + *key + "\n";
    bool const written = write(file, line.data(), line.size()) ==
                         static_cast<ssize_t>(line.size());
    close(file);
    if (!written)
        fail(path, "it could not be written whole");
    return hash_operator_key(*key);
}

} // namespace pollenhall
