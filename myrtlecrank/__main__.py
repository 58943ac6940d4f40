"""python -m myrtlecrank"""

from myrtlecrank.cli import main

if __name__ == "__main__":
    main(prog_name="myrtlecrank")
