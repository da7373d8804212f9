// Reads the files of a folder of declarations.

#include "declaration_folder.hpp"

#include <pollenhall/ini_document.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace pollenhall
{
namespace
{

namespace fs = std::filesystem;

bool is_hidden(fs::path const& path)
{
    return path.filename().string().starts_with('.');
}

void read_file_into(fs::path const& path, std::string const& name,
                    std::vector<declaration_file>& files,
                    finding_list& findings)
{
    std::error_code error;
    auto const size = fs::file_size(path, error);
    if (!error && size > max_ini_text_bytes)
    {
        findings.add(name, 0,
                     "file has " + std::to_string(size) +
                         " bytes; the maximum is " +
                         std::to_string(max_ini_text_bytes));
        return;
    }
    std::ifstream file(path, std::ios::binary);
    if (!file)
    {
        findings.add(name, 0, "file cannot be read");
        return;
    }
    files.push_back({.path = name,
                     .text = {std::istreambuf_iterator<char>(file),
                              std::istreambuf_iterator<char>()}});
}

} // namespace

std::vector<declaration_file> read_folder(std::string const& path,
                                          finding_list& findings)
{
    std::vector<declaration_file> files;
    std::error_code error;
    if (!fs::is_directory(path, error))
    {
        findings.add(path, 0, "is not a readable folder");
        return files;
    }
    fs::recursive_directory_iterator item(path, error);
    for (; !error && item != fs::recursive_directory_iterator();
         item.increment(error))
    {
        if (is_hidden(item->path()))
        {
            if (item->is_directory())
                item.disable_recursion_pending();
            continue;
        }
        if (item->is_regular_file())
            read_file_into(item->path(),
                           fs::relative(item->path(), path).generic_string(),
                           files, findings);
    }
    if (error)
        findings.add(path, 0, "folder cannot be listed: " + error.message());
    std::sort(files.begin(), files.end(),
              [](auto const& left, auto const& right)
              { return left.path < right.path; });
    return files;
}

} // namespace pollenhall
