"""Links between processes of this project."""
