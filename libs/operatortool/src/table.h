#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace fescuespring {

// A table of left-aligned columns with a heading row; columns are as wide as their longest cell.
//
//     Table table({"GROUP", "TERM"});
//     table.add({"herd", "3"});
//     table.print(out);
class Table
{
public:
    explicit Table(std::vector<std::string> headings);

    // Missing cells are empty; there may not be more cells than headings.
    void add(std::vector<std::string> cells);

    // Prints nothing if no row was added.
    void print(std::ostream &out) const;

private:
    std::vector<std::size_t> widths() const;

    std::vector<std::vector<std::string>> m_rows;
};

} // namespace fescuespring
